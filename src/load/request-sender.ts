import * as crypto from 'node:crypto';
import * as perfHooks from 'node:perf_hooks';
import * as undici from 'undici';
import * as verdict from '../verdict';
import * as loadRecorder from './load-recorder';
import * as loadRequest from './load-request';
import * as streamParser from './stream-parser';

/** Sends requests to the targets in turn and records their results. */
export class RequestSender {
  private readonly pools: readonly undici.Pool[];

  private next = 0;

  /**
   * @param targets base URLs of daemons or engines
   * @param credential bearer credential of a team; empty for none
   * @param timeoutMilliseconds longest time of one request
   */
  constructor(
    targets: readonly string[],
    private readonly credential: string,
    private readonly timeoutMilliseconds: number,
    private readonly recorder: loadRecorder.LoadRecorder,
  ) {
    // No limit on connections: each request in flight has its own, as behind a load balancer.
    this.pools = targets.map((target) => new undici.Pool(target, { connections: null }));
  }

  /** Sends one request. Never rejects; the recorder counts failures. */
  async send(request: loadRequest.LoadRequest): Promise<void> {
    const pool = this.pools[this.next % this.pools.length];
    this.next += 1;
    try {
      await this.exchange(pool, request);
    } catch (error) {
      const { code = 'unknown' } = error as NodeJS.ErrnoException;
      const sent = code !== 'ECONNREFUSED';
      this.recorder.fail(sent ? verdict.Verdict.MayHaveRun : verdict.Verdict.NotRun, code);
    }
  }

  async close(): Promise<void> {
    await Promise.all(this.pools.map((pool) => pool.destroy()));
  }

  private async exchange(pool: undici.Pool, request: loadRequest.LoadRequest): Promise<void> {
    const startedAt = perfHooks.performance.now();
    const response = await pool.request({
      method: request.method,
      path: request.path,
      headers: this.headers(request),
      body: request.body === '' ? null : request.body,
      signal: AbortSignal.timeout(this.timeoutMilliseconds),
    });
    if (response.statusCode >= 400) {
      const text = await response.body.text();
      this.recorder.fail(verdictOf(response.headers), reasonOf(response.statusCode, text));
    } else if (request.kind === loadRequest.LoadRequestKind.Plain) {
      await response.body.dump();
      loadRecorder.record(this.recorder.plain, perfHooks.performance.now() - startedAt);
      this.recorder.succeeded += 1;
    } else {
      await this.readStream(response.body, startedAt);
    }
  }

  private headers(request: loadRequest.LoadRequest): Record<string, string> {
    return {
      'x-request-id': crypto.randomUUID(),
      ...(this.credential === '' ? {} : { authorization: `Bearer ${this.credential}` }),
      ...(request.body === '' ? {} : { 'content-type': 'application/json' }),
    };
  }

  private async readStream(body: AsyncIterable<Buffer>, startedAt: number): Promise<void> {
    const { recorder } = this;
    const parser = new streamParser.StreamParser();
    let lastTokenAt: number | undefined;
    let ended = false;
    let failed = false;
    for await (const chunk of body) {
      const progress = parser.push(chunk.toString('utf8'));
      const now = perfHooks.performance.now();
      if (progress.tokens > 0) {
        const histogram = lastTokenAt === undefined ? recorder.firstToken : recorder.betweenTokens;
        loadRecorder.record(histogram, now - (lastTokenAt ?? startedAt));
        lastTokenAt = now;
        recorder.tokens += progress.tokens;
      }
      ended = ended || progress.ended;
      failed = failed || progress.failed;
    }
    if (ended && !failed) {
      loadRecorder.record(recorder.total, perfHooks.performance.now() - startedAt);
      recorder.succeeded += 1;
    } else {
      recorder.fail(verdict.Verdict.MayHaveRun, failed ? 'error_event' : 'incomplete_stream');
    }
  }
}

function verdictOf(headers: Record<string, string | string[] | undefined>): string {
  const verdictHeader = headers['x-figline-verdict'];
  if (typeof verdictHeader === 'string') {
    return verdictHeader;
  }
  return headers['x-not-run'] === 'true' ? verdict.Verdict.NotRun : verdict.Verdict.MayHaveRun;
}

function reasonOf(status: number, text: string): string {
  try {
    return String(JSON.parse(text).error.code);
  } catch {
    return `status_${status}`;
  }
}
