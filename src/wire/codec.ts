import * as cbor from 'cbor-x';

/**
 * Encodes a value as CBOR without the record extension of `cbor-x`, so that each frame and each file
 * record can be decoded without the others.
 *
 * @example
 * const bytes = encode({ kind: 'heartbeat', revision: 7 });
 */
export function encode(value: unknown): Buffer {
  return encoder.encode(value);
}

/**
 * Decodes one CBOR value. Byte strings are copied, so that a small one does not keep its frame in memory.
 * Throws on malformed input.
 */
export function decode(bytes: Uint8Array): unknown {
  return encoder.decode(bytes);
}

// `copyBuffers` is a decoder option that is missing from the published type declarations.
const options = { useRecords: false, mapsAsObjects: true, tagUint8Array: false, copyBuffers: true };

const encoder = new cbor.Encoder(options as cbor.Options);
