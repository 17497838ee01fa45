import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as emulator from '../../src/emulator';
import * as lifecycle from '../../src/lifecycle';
import * as verdict from '../../src/verdict';

/** Limits that no answer of a test reaches, even if a busy machine stalls for seconds. */
export const PATIENT_LIMITS: backend.BackendLimits = {
  ...backend.DEFAULT_LIMITS,
  connectMilliseconds: 20_000,
  silenceMilliseconds: 20_000,
  managementMilliseconds: 20_000,
};

/** Limits that tests wait for; a machine with three running processes per core reaches them without a fault. */
export const QUICK_LIMITS: backend.BackendLimits = {
  ...backend.DEFAULT_LIMITS,
  connectMilliseconds: 1_000,
  silenceMilliseconds: 1_000,
  managementMilliseconds: 2_000,
};

const FAST_ENGINE = {
  prefillTokensPerSecond: 1e6,
  decodeTokensPerSecond: 1_000,
  commentMilliseconds: 100,
  cacheEventDelayMilliseconds: 0,
};

const time = new clock.SystemClock();

/** An engine and an adapter for it; both are closed by the lifecycle manager. */
export async function buildEngine(
  owner: lifecycle.LifecycleManager,
  options: emulator.EngineOptionsInput = {},
  limits: backend.BackendLimits = QUICK_LIMITS,
): Promise<{ engine: emulator.EmulatedEngine; adapter: backend.HttpModelEngine }> {
  const engine = new emulator.EmulatedEngine({ ...FAST_ENGINE, ...options });
  await engine.listen();
  owner.register('engine', () => engine.crash());
  return { engine, adapter: buildEngineAdapter(owner, engine.port, limits) };
}

export function buildEngineAdapter(
  owner: lifecycle.LifecycleManager,
  port: number,
  limits: backend.BackendLimits = QUICK_LIMITS,
): backend.HttpModelEngine {
  const adapter = new backend.HttpModelEngine(address(port), time, limits);
  owner.register('adapter', () => adapter.close());
  return adapter;
}

/** A plain service and an adapter for it. */
export async function buildPlain(
  owner: lifecycle.LifecycleManager,
  limits: Partial<backend.BackendLimits> = {},
): Promise<{ service: emulator.EmulatedPlainService; adapter: backend.HttpPlainService }> {
  const service = new emulator.EmulatedPlainService();
  await service.listen();
  owner.register('service', () => service.crash());
  return { service, adapter: buildPlainAdapter(owner, service.port, limits) };
}

export function buildPlainAdapter(
  owner: lifecycle.LifecycleManager,
  port: number,
  limits: Partial<backend.BackendLimits> = {},
): backend.HttpPlainService {
  const bounds = { ...QUICK_LIMITS, ...limits };
  const adapter = new backend.HttpPlainService(address(port), time, bounds);
  owner.register('adapter', () => adapter.close());
  return adapter;
}

/** A lifecycle manager that `closeOwners` closes after the test, also after a failed one. */
export function buildOwner(): lifecycle.LifecycleManager {
  const owner = new lifecycle.LifecycleManager(time);
  owners.push(owner);
  return owner;
}

/** Closes what the test built; an open server would keep the process of a failed test alive. */
export async function closeOwners(): Promise<void> {
  await Promise.all(owners.splice(0).map((owner) => owner.close()));
}

const owners: lifecycle.LifecycleManager[] = [];

export function address(port: number): backend.BackendAddress {
  return { serverId: 'server-1', host: '127.0.0.1', port };
}

let nextId = 0;

/** A chat request for 8 tokens. */
export function engineRequest(
  prompt: string,
  changes: Partial<backend.EngineRequest> = {},
): backend.EngineRequest {
  nextId += 1;
  return {
    requestId: `request-${nextId}`,
    path: '/v1/chat/completions',
    body: JSON.stringify({
      messages: [{ role: 'user', content: prompt }],
      max_tokens: 8,
      stream: true,
    }),
    team: 'team-a',
    model: 'emulated-model',
    weightsVersion: 'weights-1',
    priority: 5,
    prefixChain: [],
    resumeFrom: 0,
    freshConnection: false,
    signal: new AbortController().signal,
    ...changes,
  };
}

/** A charge; its request id is also its key in the ledger. */
export function charge(changes: Partial<backend.PlainRequest> = {}): backend.PlainRequest {
  nextId += 1;
  return {
    requestId: `request-${nextId}`,
    method: 'POST',
    path: '/ledger/charges',
    headers: { 'content-type': 'application/json' },
    body: Buffer.from(JSON.stringify({ account: `account-${nextId}`, amountCents: 250 })),
    freshConnection: false,
    timeoutMilliseconds: 5_000,
    signal: new AbortController().signal,
    ...changes,
  };
}

/** What a stream delivered. */
export interface ReadStream {
  readonly pieces: readonly backend.StreamPiece[];
  readonly failure?: verdict.RequestFailure;
}

/** Reads a stream to its end. */
export async function readStream(stream: backend.EngineStream): Promise<ReadStream> {
  const pieces: backend.StreamPiece[] = [];
  for await (const result of stream.pieces()) {
    if (result.err) {
      return { pieces, failure: result.val };
    }
    pieces.push(result.val);
  }
  return { pieces };
}

/** The generated text of chat pieces. */
export function chatText(pieces: readonly backend.StreamPiece[]): string {
  return pieces
    .filter((piece) => piece.data !== '[DONE]')
    .map((piece) => JSON.parse(piece.data).choices[0].delta.content ?? '')
    .join('');
}

/** The text that an emulated engine generates for a prompt of `engineRequest`. */
export function expectedText(prompt: string, weightsVersion = 'weights-1'): string {
  return emulator.generateWords(`user: ${prompt}`, weightsVersion, 8).join('');
}

/** Polls until a condition holds; the limit only ends a test that would fail anyway. */
export async function eventually(condition: () => boolean, milliseconds = 5_000): Promise<void> {
  const end = time.monotonic() + milliseconds;
  while (!condition()) {
    if (time.monotonic() > end) {
      throw new Error('the condition did not come true');
    }
    await time.sleep(5);
  }
}
