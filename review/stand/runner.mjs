// A runner of a plain service, which answers as PROTOCOL.md tells.
import * as http from 'node:http';

/** Runs each request for some milliseconds; `spoil` may change the answer of a request. */
export class Runner {
  constructor(id, { workMilliseconds = 10, slots = 6, queue = 24, spoil = () => undefined } = {}) {
    Object.assign(this, { id, workMilliseconds, slots, queue, spoil });
    this.running = 0;
    this.waiting = [];
    /** Requests that ran, by their ids. */
    this.ran = new Map();
    this.server = http.createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 30_000;
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** The entry in the platform's list. */
  get instance() {
    return {
      id: this.id,
      service: 'ledger',
      addr: `127.0.0.1:${this.server.address().port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      cold_remaining_ms: 0,
      born: 1_700_000_000_000,
    };
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => this.answer(request, response, Buffer.concat(chunks)));
  }

  get load() {
    return `${this.running},${this.waiting.length},${this.slots},100`;
  }

  answer(request, response, body) {
    const requestId = request.headers['x-figline-request-id'];
    response.setHeader('x-figline-server-load', this.load);
    response.setHeader('keep-alive', 'timeout=30');
    if (request.url === '/health') {
      response.setHeader('x-figline-instance-id', this.id);
      response.end('{}');
      return;
    }
    const expected = request.headers['x-figline-expect-instance'];
    if (requestId === undefined || (expected !== undefined && expected !== this.id)) {
      response.setHeader('x-figline-not-executed', '1');
      response.writeHead(requestId === undefined ? 400 : 421).end();
      return;
    }
    response.setHeader('x-figline-request-id', requestId);
    if (this.running >= this.slots && this.waiting.length >= this.queue) {
      response.setHeader('x-figline-not-executed', '1');
      response.writeHead(503).end();
      return;
    }
    this.waiting.push(() => this.run(requestId, response, body));
    this.next();
  }

  next() {
    if (this.running < this.slots && this.waiting.length > 0) {
      this.waiting.shift()();
    }
  }

  run(requestId, response, body) {
    this.running += 1;
    this.ran.set(requestId, (this.ran.get(requestId) ?? 0) + 1);
    setTimeout(() => {
      this.running -= 1;
      response.setHeader('x-figline-response-seal', `seal.${this.id}.${requestId}`);
      response.setHeader('content-type', 'text/plain');
      this.spoil(requestId, response);
      if (!response.destroyed && !response.writableEnded) {
        response.end(`done ${requestId} ${body.length} ${'x'.repeat(760)}`);
      }
      this.next();
    }, this.workMilliseconds);
  }
}
