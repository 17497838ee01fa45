/* eslint-disable no-bitwise */

const POLYNOMIAL = 0xedb88320;

const TABLE = Uint32Array.from({ length: 256 }, (_, byte) => {
  let value = byte;
  for (let bit = 0; bit < 8; bit += 1) {
    value = value & 1 ? (value >>> 1) ^ POLYNOMIAL : value >>> 1;
  }
  return value;
});

/**
 * CRC-32 as in IEEE 802.3. `zlib.crc32` is missing from Node.js 20.11, the oldest supported version.
 *
 * @param previous checksum of the bytes before, to continue it
 */
export function crc32(bytes: Uint8Array, previous = 0): number {
  let value = ~previous;
  for (let index = 0; index < bytes.length; index += 1) {
    value = TABLE[(value ^ bytes[index]) & 0xff] ^ (value >>> 8);
  }
  return ~value >>> 0;
}
