import * as crypto from 'node:crypto';
import * as zod from 'zod';

/** Kinds of the frames that a link handles itself. */
export enum LinkMessageKind {
  Hello = 'hello',
  Proof = 'proof',
  Heartbeat = 'heartbeat',
}

/** Identity that a daemon sends when a link is opened. */
export interface PeerIdentity {
  readonly daemonId: string;
  readonly zone: string;
  /** `host:port` at which the daemon accepts links. */
  readonly address: string;
}

export const PROTOCOL_VERSION = 1;

const NONCE_BYTES = 32;

export const helloSchema = zod.object({
  kind: zod.literal(LinkMessageKind.Hello),
  version: zod.number(),
  daemonId: zod.string().min(1).max(128),
  zone: zod.string().max(128),
  address: zod.string().min(1).max(128),
  nonce: zod.instanceof(Uint8Array).refine((nonce) => nonce.length === NONCE_BYTES),
});

/** Monotonic times in milliseconds of the sender and of the receiver of a heartbeat; earlier releases send none. */
export const heartbeatTicksSchema = zod.object({
  kind: zod.literal(LinkMessageKind.Heartbeat),
  /** When the sender sent the heartbeat, on its own clock. */
  sentTick: zod.number(),
  /** The last `sentTick` that the sender has received on this link; absent before the first. */
  heardTick: zod.number().optional(),
});

export type Hello = zod.infer<typeof helloSchema>;

export const proofSchema = zod.object({
  kind: zod.literal(LinkMessageKind.Proof),
  proof: zod.instanceof(Uint8Array),
});

/** Builds the first frame of a link with a fresh nonce. */
export function createHello(identity: PeerIdentity): Hello {
  return {
    kind: LinkMessageKind.Hello,
    version: PROTOCOL_VERSION,
    ...identity,
    nonce: crypto.randomBytes(NONCE_BYTES),
  };
}

/**
 * HMAC-SHA-256 over both Hello frames under the pre-shared key. The prover's Hello comes first, so that a
 * proof cannot be sent back to the daemon that made it.
 *
 * @example
 * const proof = createProof(preSharedKey, ownHello, peerHello);
 */
export function createProof(preSharedKey: string, prover: Hello, verifier: Hello): Buffer {
  const hmac = crypto.createHmac('sha256', preSharedKey);
  [prover, verifier].forEach((hello) => {
    const text = [hello.version, hello.daemonId, hello.zone, hello.address].map(String);
    hmac.update(JSON.stringify([...text, Buffer.from(hello.nonce).toString('hex')]));
  });
  return hmac.digest();
}

/** Whether `proof` was made by `prover` for `verifier` under the same key. */
export function verifyProof(
  preSharedKey: string,
  prover: Hello,
  verifier: Hello,
  proof: Uint8Array,
): boolean {
  const expected = createProof(preSharedKey, prover, verifier);
  return proof.length === expected.length && crypto.timingSafeEqual(proof, expected);
}
