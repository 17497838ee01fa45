import * as results from 'ts-results';
import * as codec from './codec';

/** The field that every message between daemons has. */
export interface WireMessage {
  readonly kind: string;
}

/** Why bytes from a peer could not be decoded as frames. */
export enum FrameFault {
  Oversized = 'oversized-frame',
  Malformed = 'malformed-frame',
}

/** Maximum size of a frame body between authenticated daemons. */
export const MAXIMUM_FRAME_BYTES = 16 * 1_024 * 1_024;

/** Maximum size of a frame body before the peer has proved that it has the pre-shared key. */
export const MAXIMUM_HANDSHAKE_FRAME_BYTES = 1_024;

const LENGTH_BYTES = 4;

/**
 * Encodes a message as a 4-byte big-endian length followed by a CBOR body.
 *
 * @returns `Err` when the body is longer than `MAXIMUM_FRAME_BYTES`
 */
export function encodeFrame(message: WireMessage): results.Result<Buffer, FrameFault> {
  const body = codec.encode(message);
  if (body.length > MAXIMUM_FRAME_BYTES) {
    return results.Err(FrameFault.Oversized);
  }
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, LENGTH_BYTES);
  return results.Ok(frame);
}

/** Decodes the byte stream of one connection into messages. */
export class FrameReader {
  private chunks: Buffer[] = [];

  private buffered = 0;

  private limit = MAXIMUM_HANDSHAKE_FRAME_BYTES;

  /** Allows frames up to `MAXIMUM_FRAME_BYTES`; called once the peer is authenticated. */
  admitLargeFrames(): void {
    this.limit = MAXIMUM_FRAME_BYTES;
  }

  push(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.buffered += chunk.length;
  }

  /** The next complete message, `undefined` when more bytes are needed, or why the stream is invalid. */
  next(): results.Result<WireMessage | undefined, FrameFault> {
    if (this.buffered < LENGTH_BYTES) {
      return results.Ok(undefined);
    }
    const length = this.peek(LENGTH_BYTES).readUInt32BE(0);
    if (length > this.limit) {
      return results.Err(FrameFault.Oversized);
    }
    if (this.buffered < LENGTH_BYTES + length) {
      return results.Ok(undefined);
    }
    const frame = this.peek(LENGTH_BYTES + length);
    this.drop(LENGTH_BYTES + length);
    return decodeBody(frame.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
  }

  /** A buffer that starts with the next `length` bytes; joins chunks only when the first one is too short. */
  private peek(length: number): Buffer {
    if (this.chunks[0].length < length) {
      this.chunks = [Buffer.concat(this.chunks)];
    }
    return this.chunks[0];
  }

  private drop(length: number): void {
    const rest = this.chunks[0].subarray(length);
    this.buffered -= length;
    if (rest.length === 0) {
      this.chunks.shift();
    } else {
      this.chunks[0] = rest;
    }
  }
}

function decodeBody(body: Buffer): results.Result<WireMessage, FrameFault> {
  try {
    const value = codec.decode(body);
    return isMessage(value) ? results.Ok(value) : results.Err(FrameFault.Malformed);
  } catch {
    return results.Err(FrameFault.Malformed);
  }
}

function isMessage(value: unknown): value is WireMessage {
  return (
    typeof value === 'object' && value !== null && typeof (value as WireMessage).kind === 'string'
  );
}
