import * as http from 'node:http';
import * as net from 'node:net';
import type * as emulatedServer from './emulated-server';

/**
 * HTTP endpoint that injects faults into one emulated server. It has a separate port, so that it also works
 * while the server is frozen or down. `GET /report`; `POST /<command>` with a JSON body.
 */
export class ControlEndpoint {
  private server: http.Server | undefined;

  constructor(private readonly controlled: emulatedServer.EmulatedServer) {}

  /** Listens on a port chosen by the operating system and returns it. */
  async listen(host: string): Promise<number> {
    const server = http.createServer((request, response) => {
      this.receive(request, response);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, host, resolve);
    });
    this.server = server;
    return (server.address() as net.AddressInfo).port;
  }

  async close(): Promise<void> {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private async receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const name = (request.url ?? '/').slice(1);
    try {
      const body = await readJson(request);
      const isKnown = name === 'report' || (await this.carryOut(name, body));
      response.writeHead(isKnown ? 200 : 404, { 'content-type': 'application/json' });
      response.end(JSON.stringify(this.controlled.report()));
    } catch (error) {
      response.writeHead(400, { 'content-type': 'text/plain' });
      response.end(String(error));
    }
  }

  private async carryOut(name: string, body: unknown): Promise<boolean> {
    if (name === 'exit') {
      process.exit(EXIT_CODE_OF_CRASH);
    }
    if (name === 'crash') {
      await this.controlled.crash();
      return true;
    }
    if (name === 'restart') {
      await this.controlled.restart();
      return true;
    }
    return this.controlled.adjust(name, body);
  }
}

const EXIT_CODE_OF_CRASH = 13;

async function readJson(request: http.IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}
