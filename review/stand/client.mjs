// A client of the gateways: one request, and how it was answered.
import * as http from 'node:http';
import { CREDENTIAL, HOST } from './deployment.mjs';

/**
 * Sends one client attempt. Resolves with `status`, or with `status` 0 if the channel was closed without a whole answer, and
 * with `status` undefined if nothing came in `patience` milliseconds.
 */
export function send(
  { ip, frontPort },
  { id, method = 'GET', path, deadline, patience, agent, body, credential, headers },
) {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let timer;
    const settle = (result) => {
      clearTimeout(timer);
      resolve({ id, milliseconds: Math.round(performance.now() - startedAt), ...result });
    };
    const request = http.request(
      {
        host: ip,
        port: frontPort,
        method,
        path,
        agent,
        headers: {
          host: HOST,
          authorization: `Token ${credential ?? CREDENTIAL}`,
          'x-figline-request-id': id,
          'x-figline-deadline-ms': deadline,
          ...headers,
          ...(body === undefined ? {} : { 'content-length': body.length }),
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('end', () =>
          settle({
            status: response.complete ? response.statusCode : 0,
            headers: response.headers,
            text: Buffer.concat(chunks).toString('latin1'),
          }),
        );
        response.on('error', () => settle({ status: 0 }));
      },
    );
    request.on('error', () => settle({ status: 0 }));
    timer = setTimeout(() => {
      settle({ status: undefined });
      request.destroy();
    }, patience);
    request.end(body);
  });
}
