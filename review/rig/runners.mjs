/** Stand-ins of runners: they answer as the pages say, and record what they run. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';

let nextHost = 1;

/** A runner of an application service, or of a model if `model` is given. */
export class Runner {
  constructor(record, prefix, service, { model, answer, delayMilliseconds = 30 } = {}) {
    this.record = record;
    this.service = service;
    this.model = model;
    this.answer = answer;
    this.delayMilliseconds = delayMilliseconds;
    this.id = `i-${crypto.randomBytes(4).toString('hex')}`;
    this.born = Date.now();
    this.host = `${prefix}.${200 + (nextHost % 50)}`;
    nextHost += 1;
    this.version = 1;
    this.seq = 0;
    this.fence = 0;
    this.running = 0;
    this.state = 'ready';
    /** Ids of the requests that have begun to run, with the number of runs. */
    this.runs = new Map();
    this.orders = [];
  }

  async start() {
    this.server = http.createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 60_000;
    await new Promise((resolve) => {
      this.server.listen(this.port ?? 0, this.host, resolve);
    });
    this.port = this.server.address().port;
  }

  get entry() {
    const { id, service, host, port, state, born, model, version } = this;
    return {
      id,
      service,
      addr: `${host}:${port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 96,
      state,
      cold_remaining_ms: 0,
      born,
      ...(model === undefined
        ? {}
        : { stage: 'both', models: [{ name: model, version, adapters: [] }] }),
    };
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => this.handle(request, response, Buffer.concat(chunks)));
  }

  handle(request, response, body) {
    const { url, method, headers } = request;
    const expected = headers['x-figline-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'x-figline-instance-id': this.id }).end();
    } else if (url === '/-/report') {
      this.report(response);
    } else if (url === '/health') {
      response
        .writeHead(200, {
          'x-figline-instance-id': this.id,
          'x-figline-server-load': `${this.running},0,96`,
        })
        .end();
    } else if (url === '/-/order' && method === 'POST') {
      this.order(response, JSON.parse(body.toString()));
    } else if (url.startsWith('/-/')) {
      response.writeHead(404).end();
    } else {
      this.run(request, response, body);
    }
  }

  report(response) {
    const { model: name, version, seq, running, state, born } = this;
    response.writeHead(200, { 'content-type': 'application/json' }).end(
      JSON.stringify({
        stage: 'both',
        models: name === undefined ? [] : [{ name, version, adapters: [] }],
        busy: false,
        seq,
        waiting: 0,
        running,
        kv_used: 0,
        kv_total: 90_000,
        handles: 0,
        state,
        born,
      }),
    );
  }

  order(response, { version, holder, fence, expect }) {
    this.orders.push({ version, holder, fence });
    this.record.write('order', { runner: this.id, version, holder, fence });
    if (fence < this.fence) {
      response.writeHead(412).end();
    } else if (expect !== undefined && expect !== this.seq) {
      response.writeHead(409).end();
    } else if (version === this.version) {
      response.writeHead(200).end();
    } else {
      this.fence = fence;
      this.seq += 1;
      this.version = version;
      response.writeHead(202).end();
    }
  }

  run(request, response, body) {
    const id = request.headers['x-figline-request-id'];
    if (id === undefined) {
      response.writeHead(400, { 'x-figline-not-executed': '1' }).end();
      return;
    }
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    this.record.write('run', { runner: this.id, id, method: request.method, path: request.url });
    this.running += 1;
    response.once('close', () => {
      this.running -= 1;
    });
    const answer = this.answer ?? plainAnswer;
    answer(this, request, response, body);
  }

  /** Headers of each answer to a request that has run. */
  headersFor(request, body) {
    return {
      'x-figline-request-id': request.headers['x-figline-request-id'],
      'x-figline-response-seal': crypto.createHash('sha1').update(body).digest('hex'),
      'x-figline-server-load': `${this.running},0,96`,
      ...(this.model === undefined ? {} : { 'x-figline-weight-versions': String(this.version) }),
    };
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Answers after the usual time with 800 bytes that name the request. */
export function plainAnswer(runner, request, response) {
  const id = request.headers['x-figline-request-id'];
  const body = `${id} `.padEnd(800, '.');
  setTimeout(() => {
    response.writeHead(200, {
      ...runner.headersFor(request, body),
      'content-type': 'text/plain',
      'content-length': String(body.length),
    });
    response.end(body);
  }, runner.delayMilliseconds);
}

/** Answers with a stream of numbered events. */
export function streamAnswer({ events = 20, pauseMilliseconds = 100, firstMilliseconds = 50 }) {
  return (runner, request, response) => {
    const id = request.headers['x-figline-request-id'];
    const from = Number(request.headers['last-event-id'] ?? 0);
    let next = from + 1;
    let timer;
    const send = () => {
      if (next === from + 1) {
        response.writeHead(200, {
          ...runner.headersFor(request, id),
          'content-type': 'text/event-stream',
        });
      }
      response.write(`id: ${next}\ndata: ${id} piece ${next} of ${events}\n\n`);
      next += 1;
      if (next > events) {
        response.end();
      } else {
        timer = setTimeout(send, pauseMilliseconds);
      }
    };
    timer = setTimeout(send, firstMilliseconds);
    response.once('close', () => clearTimeout(timer));
  };
}

/** A manifest with an unsafe and a safe route to `app`, and stream routes to `desk`. */
export function manifest(version, { model = 'm1', changes = {} } = {}) {
  const route = (name, host, kind, service, more = {}) => ({
    name,
    host,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: 5_000,
    target_latency_ms: 400,
    priority: 1,
    service,
    max_attempts: 2,
    public: false,
    sticky: false,
    resumable: false,
    ...more,
  });
  return {
    version,
    routes: [
      route('charge', 'app.example', 'unsafe', 'app', { timeout_ms: 3_000, max_attempts: 2 }),
      route('lookup', 'app.example', 'safe', 'app', { timeout_ms: 3_000 }),
      route('reply', 'desk.example', 'stream', 'desk', {
        timeout_ms: 15_000,
        sticky: true,
        resumable: true,
        gap_aim_ms: 250,
      }),
      route('report', 'desk.example', 'stream', 'desk', { sticky: true, gap_aim_ms: 250 }),
    ],
    services: [
      { name: 'app', health_path: '/health', max_conns: 110, protocol: 'h1', tls: false },
      {
        name: 'desk',
        health_path: '/health',
        max_conns: 500,
        protocol: 'h1',
        tls: false,
        engine: {
          slots: 96,
          kv_capacity_tokens: 81_468,
          kv_token_bytes: 262_144,
          link_mbps: 550_000,
          moves: true,
          backups: true,
          stride: 4,
          max_inflight: 12,
          pin_ms: 4_000,
          hold_ms: 2_000,
          handle_s: 5,
          models: [{ name: model }],
        },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [
      { name: 'tenant-a', api_keys: ['key-a'], priority: 1 },
      { name: 'tenant-b', api_keys: ['key-b'], priority: 1 },
    ],
    ...changes,
  };
}
