import * as net from 'node:net';

/**
 * Ports that the operating system chose and that are free again. Daemons need to know each other's ports
 * before they start, so port 0 cannot be used for these.
 */
export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  const ports = await Promise.all(servers.map(listen));
  await Promise.all(servers.map(close));
  return ports;
}

function listen(server: net.Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve((server.address() as net.AddressInfo).port));
  });
}

function close(server: net.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}
