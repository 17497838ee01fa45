// A runner of a model, which keeps the prompt parts that it has read, as PROTOCOL.md tells.
import * as http from 'node:http';

/** Answers each request with a short stream; keeps which tenant made each cached part. */
export class Engine {
  constructor(id, model) {
    Object.assign(this, { id, model });
    this.version = 1;
    this.orders = 0;
    /** Tenant that made each part, by salt and the ids of all parts up to it. */
    this.makers = new Map();
    /** What each request has run on: its tenant, and the makers of the parts that were found. */
    this.runs = [];
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
      service: 'desk',
      addr: `127.0.0.1:${this.server.address().port}`,
      zone: 'zone-a',
      version: 'v1',
      slots: 96,
      state: 'ready',
      cold_remaining_ms: 0,
      stage: 'both',
      models: [{ name: this.model, version: this.version, adapters: [] }],
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

  answer({ url, headers }, response, body) {
    const requestId = headers['x-figline-request-id'];
    const refuse = (status) => {
      response.setHeader('x-figline-not-executed', '1');
      response.writeHead(status).end();
    };
    if (requestId !== undefined) {
      response.setHeader('x-figline-request-id', requestId);
    }
    const expected = headers['x-figline-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      refuse(421);
    } else if (url === '/-/report') {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(this.report));
    } else if (url === '/-/order') {
      this.order(JSON.parse(body.toString()), response);
    } else if (url.startsWith('/-/')) {
      response.writeHead(404).end();
    } else if (requestId === undefined) {
      refuse(400);
    } else if (![undefined, String(this.version)].includes(headers['x-figline-expect-version'])) {
      refuse(421);
    } else {
      this.run(requestId, headers, response);
    }
  }

  get report() {
    return {
      stage: 'both',
      models: [{ name: this.model, version: this.version, adapters: [] }],
      busy: false,
      seq: this.orders,
      waiting: 0,
      running: 0,
      kv_used: 0,
      kv_total: 81_468,
      handles: 0,
      pinned: 0,
      held: 0,
      state: 'ready',
      runs: [],
      born: 1_700_000_000_000,
    };
  }

  /** Loads other weights at once; all that is kept is dropped. */
  order({ version, expect }, response) {
    if (expect !== undefined && expect !== this.orders) {
      response.writeHead(409).end();
      return;
    }
    this.orders += 1;
    this.version = version;
    this.makers.clear();
    response.writeHead(202).end();
  }

  run(requestId, headers, response) {
    const tenant = headers['x-figline-tenant'];
    const salt = headers['x-figline-cache-salt'] ?? '';
    const parts = (headers['x-figline-prompt-prefix'] ?? '').split(',');
    const keys = parts.map((_part, index) => `${salt}|${parts.slice(0, index + 1).join(',')}`);
    const known = keys.findIndex((key) => !this.makers.has(key));
    const found = keys.slice(0, known < 0 ? keys.length : known);
    const run = {
      requestId,
      tenant,
      salt,
      parts,
      makers: found.map((key) => this.makers.get(key)),
    };
    keys.slice(found.length).forEach((key) => this.makers.set(key, tenant));
    this.runs.push(run);
    response.writeHead(200, {
      'x-figline-response-seal': `seal.${this.id}.${requestId}`,
      'x-figline-weight-versions': String(this.version),
      'content-type': 'text/event-stream',
    });
    let event = 0;
    const timer = setInterval(() => {
      event += 1;
      response.write(`id: ${event}\ndata: piece ${event}\n\n`);
      if (event === 5) {
        clearInterval(timer);
        response.end();
      }
    }, 10);
    response.on('close', () => clearInterval(timer));
  }
}

/** A manifest with the model service `desk`, for two tenants. */
export function deskManifest(version, model, tenants, host) {
  return {
    version,
    routes: [
      {
        name: 'r-desk',
        host,
        path_prefix: '/desk/',
        kind: 'stream',
        timeout_ms: 5_000,
        target_latency_ms: 600,
        priority: 1,
        service: 'desk',
        max_attempts: 2,
        public: false,
        sticky: true,
        resumable: false,
        gap_aim_ms: 250,
      },
    ],
    services: [
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
    tenants,
  };
}
