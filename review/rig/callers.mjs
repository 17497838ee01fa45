/** Stand-ins of clients. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';

let count = 0;

/** A new id of a client attempt. */
export function newId() {
  count += 1;
  return `${crypto.randomBytes(6).toString('hex')}${count.toString(16).padStart(4, '0')}`;
}

/** Headers of a request of a tenant. */
export function headersOf(host, id, { key = 'key-a', waitMilliseconds = 3_000, more = {} } = {}) {
  return {
    host,
    'x-figline-request-id': id,
    'x-figline-deadline-ms': String(waitMilliseconds),
    authorization: `Token ${key}`,
    ...more,
  };
}

/**
 * Sends one request and resolves with its outcome. `status` is 0 if the connection ended without a complete answer, and -1 if the
 * client has waited for its whole time.
 */
export function send(address, { method = 'POST', path, headers, body = '', agent, limit = 6_000 }) {
  return new Promise((resolve) => {
    const startedAt = performance.now();
    let isOver = false;
    const end = (outcome) => {
      if (!isOver) {
        isOver = true;
        clearTimeout(timer);
        resolve({ milliseconds: Math.round(performance.now() - startedAt), ...outcome });
      }
    };
    const request = http.request({ ...address, method, path, headers, agent }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => end({ status: 0, head: response.statusCode }));
      response.on('end', () =>
        end({
          status: response.complete ? response.statusCode : 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('latin1'),
        }),
      );
    });
    const timer = setTimeout(() => {
      request.destroy();
      end({ status: -1 });
    }, limit);
    request.on('error', (error) => end({ status: 0, error: error.code }));
    request.end(body);
  });
}
