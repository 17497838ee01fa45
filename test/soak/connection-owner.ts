import * as fs from 'node:fs';

/** The ports at both ends of a connection over IPv4 loopback, as its client sees them. */
export interface ConnectionPorts {
  readonly client: number;
  readonly server: number;
}

/**
 * The name of the process that has the client end of a connection, from the tables of the kernel; absent if none of them has.
 *
 * @param processes names by process id
 * @example
 * ownerOf({ client: 40112, server: 8080 }, new Map([[811, 'front-1']])); // 'front-1'
 */
export function ownerOf(
  ports: ConnectionPorts,
  processes: ReadonlyMap<number, string>,
): string | undefined {
  const inode = inodeOf(ports);
  const found = [...processes].find(([id]) => inode !== undefined && hasSocket(id, inode));
  return found?.[1];
}

function inodeOf({ client, server }: ConnectionPorts): string | undefined {
  const ends = [client, server].map(
    (port) => `:${port.toString(16).toUpperCase().padStart(4, '0')}`,
  );
  const row = fs
    .readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .map((line) => line.trim().split(/\s+/))
    .find(([, local, remote]) => local?.endsWith(ends[0]) && remote?.endsWith(ends[1]));
  return row?.[INODE_COLUMN];
}

function hasSocket(id: number, inode: string): boolean {
  try {
    const folder = `/proc/${id}/fd`;
    return fs.readdirSync(folder).some((name) => isSocket(`${folder}/${name}`, inode));
  } catch {
    // The process has ended.
    return false;
  }
}

function isSocket(file: string, inode: string): boolean {
  try {
    return fs.readlinkSync(file) === `socket:[${inode}]`;
  } catch {
    // The file was closed meanwhile.
    return false;
  }
}

const INODE_COLUMN = 9;
