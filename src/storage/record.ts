import * as results from 'ts-results';
import * as wire from '../wire';
import * as checksum from './checksum';

/** Records read from a file. */
export interface Records {
  readonly values: readonly unknown[];
  /** Bytes of an incomplete last record, which was never acknowledged. */
  readonly tornBytes: number;
}

export enum RecordFault {
  /** A damaged record is followed by an intact one: acknowledged data is lost. */
  Damaged = 'damaged-record',
}

const MARKER = Buffer.from('FGL1');

const LENGTH_OFFSET = 4;

const CHECKSUM_OFFSET = 8;

const HEADER_BYTES = 12;

/**
 * Encodes one record: marker, 4-byte body length, CRC-32 of length and body, CBOR body. Data that must be
 * written atomically belongs in one record.
 */
export function encodeRecord(value: unknown): Buffer {
  const body = wire.encode(value);
  const header = Buffer.alloc(HEADER_BYTES);
  MARKER.copy(header);
  header.writeUInt32BE(body.length, LENGTH_OFFSET);
  const record = Buffer.concat([header, body]);
  record.writeUInt32BE(checksumOf(record), CHECKSUM_OFFSET);
  return record;
}

/**
 * Reads all records. A damaged record at the end is a write that a crash interrupted; it is reported as torn.
 * A damaged record before an intact one is an error of the disk.
 */
export function decodeRecords(bytes: Uint8Array): results.Result<Records, RecordFault> {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const values: unknown[] = [];
  let offset = 0;
  for (let end = recordEnd(file, offset); end !== undefined; end = recordEnd(file, offset)) {
    values.push(wire.decode(file.subarray(offset + HEADER_BYTES, end)));
    offset = end;
  }
  return hasRecordAfter(file, offset)
    ? results.Err(RecordFault.Damaged)
    : results.Ok({ values, tornBytes: file.length - offset });
}

/** The end offset of the record at `offset`; `undefined` when the record is not intact. */
function recordEnd(file: Buffer, offset: number): number | undefined {
  const bodyStart = offset + HEADER_BYTES;
  if (bodyStart > file.length || !file.subarray(offset, offset + MARKER.length).equals(MARKER)) {
    return undefined;
  }
  const end = bodyStart + file.readUInt32BE(offset + LENGTH_OFFSET);
  if (end > file.length) {
    return undefined;
  }
  const record = file.subarray(offset, end);
  return record.readUInt32BE(CHECKSUM_OFFSET) === checksumOf(record) ? end : undefined;
}

function hasRecordAfter(file: Buffer, offset: number): boolean {
  let candidate = file.indexOf(MARKER, offset);
  while (candidate >= 0) {
    if (recordEnd(file, candidate) !== undefined) {
      return true;
    }
    candidate = file.indexOf(MARKER, candidate + 1);
  }
  return false;
}

function checksumOf(record: Buffer): number {
  const length = checksum.crc32(record.subarray(LENGTH_OFFSET, CHECKSUM_OFFSET));
  return checksum.crc32(record.subarray(HEADER_BYTES), length);
}
