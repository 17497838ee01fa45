/** Bytes that a faulty server sends instead of an answer, or after the start of one. */
export interface Flood {
  /** Sent once; `ID` stands for the id of the request. */
  readonly start: string;
  /** Sent repeatedly until the caller closes the connection. */
  readonly repeated: string;
  /** Time between two repetitions; without one they are sent as fast as the caller reads. */
  readonly pauseMilliseconds?: number;
}

/** The same flood with a pause between two repetitions. */
export function slowly(flood: Flood, pauseMilliseconds = 5): Flood {
  return { ...flood, pauseMilliseconds };
}

/** Identifies the request and the server, as the platform's and figline's own protocol require. */
const HEAD =
  'x-figline-request-id: ID\r\nx-figline-response-seal: s\r\n' +
  'x-request-id: ID\r\nx-incarnation: i\r\nx-weights-version: w\r\n';

const CHUNKED = `HTTP/1.1 200 OK\r\n${HEAD}transfer-encoding: chunked\r\n\r\n`;

const EVENTS = `HTTP/1.1 200 OK\r\n${HEAD}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;

/** One chunk of a chunked body. */
export function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Bytes that violate the protocol before the first byte of a body. */
export const HEAD_FLOODS: Readonly<Record<string, Flood>> = {
  'bytes that are not HTTP': { start: '', repeated: 'noise' },
  'a status line': { start: 'HTTP/1.1 200 ', repeated: 'O' },
  'blank lines before the status line': { start: '', repeated: '\r\n' },
  'a header line': { start: `HTTP/1.1 200 OK\r\n${HEAD}x-filler: `, repeated: 'y' },
  'blanks before the value of a header': {
    start: `HTTP/1.1 200 OK\r\n${HEAD}x-filler:`,
    repeated: ' ',
  },
  'header lines': { start: `HTTP/1.1 200 OK\r\n${HEAD}`, repeated: 'x-filler: y\r\n' },
  'interim answers': { start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n' },
  'answers with status 100': { start: '', repeated: 'HTTP/1.1 100 Continue\r\n\r\n' },
  'a chunk size': { start: CHUNKED, repeated: '0' },
  'a chunk extension': { start: `${CHUNKED}5;note=`, repeated: 'y' },
};

/** Bytes after the last byte of a body that are not its end. */
export const TRAILER_FLOODS: Readonly<Record<string, Flood>> = {
  'a trailer line': { start: `${CHUNKED}${chunk('sacks')}0\r\nx-filler: `, repeated: 'y' },
  'trailer lines': { start: `${CHUNKED}${chunk('sacks')}0\r\n`, repeated: 'x-filler: y\r\n' },
  'the size of a second chunk': { start: `${CHUNKED}${chunk('sacks')}`, repeated: '0' },
};

/** Bytes that are not new events. */
export const EVENT_FLOODS: Readonly<Record<string, Flood>> = {
  'an event': { start: `${EVENTS}${chunk('id: 1\ndata: ')}`, repeated: chunk('sacks') },
  'comment lines': { start: EVENTS, repeated: chunk(': idle\n') },
  'comments, each with a blank line': { start: EVENTS, repeated: chunk(': idle\n\n') },
  'blank lines': { start: EVENTS, repeated: chunk('\n') },
  'events that the caller has': {
    start: `${EVENTS}${chunk('id: 1\ndata: piece 1\n\n')}`,
    repeated: chunk('id: 1\ndata: piece 1\n\n'),
  },
  'a chunk size': {
    start: `${EVENTS}${chunk('id: 1\ndata: piece 1\n\n')}`,
    repeated: '0',
  },
};

/** Endless body bytes after correct headers. */
export const BODY_FLOODS: Readonly<Record<string, Flood>> = {
  'a chunked body': { start: CHUNKED, repeated: chunk('sacks and sacks\n'.repeat(64)) },
  'a body without a length': { start: `HTTP/1.1 200 OK\r\n${HEAD}\r\n`, repeated: 'sacks\n' },
};

/** A complete answer, then more bytes on its connection. */
export const EXTRA_FLOODS: Readonly<Record<string, Flood>> = {
  'more bytes than its content-length': {
    start: `HTTP/1.1 200 OK\r\n${HEAD}content-length: 5\r\n\r\nsacks`,
    repeated: 'noise',
  },
  'blank lines': {
    start: `HTTP/1.1 200 OK\r\n${HEAD}content-length: 5\r\n\r\nsacks`,
    repeated: '\r\n',
  },
};
