import * as fakeBackendServer from '../platform/fake-backend-server';
import * as callerCrowd from './caller-crowd';

type Parts = Iterable<Buffer | string>;

/** A chunked body in chunks of 64 KB that stops short of its end. */
export function* largeChunks(index: number): Parts {
  yield callerCrowd.head('POST /balance/7', `crowd-${index}`, CHUNKED);
  const chunks = Math.floor(UNFINISHED_BYTES / LARGE_CHUNK_BYTES);
  for (let count = 0; count < chunks; count += 1) {
    yield callerCrowd.LARGE_CHUNK;
  }
  yield callerCrowd.chunk(UNFINISHED_BYTES - chunks * LARGE_CHUNK_BYTES);
}

/** A chunked body in chunks of one byte that stays unfinished. */
export function* smallChunks(index: number): Parts {
  yield callerCrowd.head('POST /balance/7', `crowd-${index}`, CHUNKED);
  for (let count = 0; count < SMALL_CHUNKS; count += SMALL_CHUNKS_AT_ONCE) {
    yield SMALL_CHUNKS_TOGETHER;
  }
}

/** A body with a length that stops short of its end. */
export function* announcedBody(index: number): Parts {
  const length = String(MAXIMUM_BODY_BYTES);
  yield callerCrowd.head('POST /balance/7', `crowd-${index}`, { 'content-length': length });
  let left = UNFINISHED_BYTES;
  for (; left > LARGE_PART.length; left -= LARGE_PART.length) {
    yield LARGE_PART;
  }
  yield LARGE_PART.subarray(0, left);
}

/** A body far over the limit; every second connection announces its length. */
export function* endlessBody(index: number): Parts {
  const isAnnounced = index % 2 === 0;
  const framing = isAnnounced ? { 'content-length': String(ENDLESS_BYTES) } : CHUNKED;
  yield callerCrowd.head('POST /balance/7', `crowd-${index}`, framing);
  for (let sent = 0; sent < ENDLESS_BYTES; sent += LARGE_CHUNK_BYTES) {
    yield isAnnounced ? LARGE_PART : callerCrowd.LARGE_CHUNK;
  }
}

/** Many requests without waiting for their answers; every second one lacks the usual headers. */
export function* requestsAhead(index: number): Parts {
  for (let count = 0; count < REQUESTS; count += REQUESTS_AT_ONCE) {
    const heads = Array.from({ length: REQUESTS_AT_ONCE }, (_, place) =>
      place % 2 === 0
        ? callerCrowd.head('GET /balance/7', `crowd-${index}-${count + place}`)
        : 'GET /balance/7 HTTP/1.1\r\nhost: desk.example\r\n\r\n',
    );
    yield heads.join('');
  }
}

/** A body in chunks of one byte behind a request that is being answered. */
export function* waitingBody(index: number): Parts {
  yield (
    callerCrowd.head('GET /balance/7', `crowd-${index}`) +
    callerCrowd.head('POST /balance/7', `crowd-${index}-behind`, CHUNKED)
  );
  for (let count = 0; count < WAITING_CHUNKS; count += SMALL_CHUNKS_AT_ONCE) {
    yield SMALL_CHUNKS_TOGETHER;
  }
}

/** A large head without its end. */
export function* unfinishedHead(index: number): Parts {
  const head = callerCrowd.head('GET /balance/7', `crowd-${index}`);
  yield head.slice(0, -2);
  yield `x-note: ${'x'.repeat(HEADER_BYTES)}`;
}

/** A request for a large answer. */
export function* largeAnswer(index: number): Parts {
  yield callerCrowd.head('GET /balance/large', `crowd-${index}`);
}

/** Answers what `largeAnswer` requests, and a short text to ordinary requests. */
export const answerLarge: fakeBackendServer.ServerBehaviour = (request, response) => {
  const isOfCrowd = request.path === '/balance/large';
  const text = isOfCrowd ? 'x'.repeat(ANSWER_BYTES) : '7 sacks';
  fakeBackendServer.answer(text)(request, response);
};

/** Answers GET requests only when the crowd has been sent, and others at once. */
export const answerSlowly: fakeBackendServer.ServerBehaviour = (request, response) => {
  const delay = request.method === 'GET' ? SLOW_MILLISECONDS : 0;
  setTimeout(() => fakeBackendServer.answer('7 sacks')(request, response), delay);
};

const CHUNKED: Readonly<Record<string, string>> = { 'transfer-encoding': 'chunked' };

/** The largest body of a request that the gateway accepts. */
export const MAXIMUM_BODY_BYTES = 4 * 1_024 * 1_024;

const UNFINISHED_BYTES = MAXIMUM_BODY_BYTES - 1_024;

const ENDLESS_BYTES = 4 * MAXIMUM_BODY_BYTES;

const { LARGE_CHUNK_BYTES } = callerCrowd;

const LARGE_PART = Buffer.alloc(LARGE_CHUNK_BYTES, 'x');

const SMALL_CHUNKS = 100_000;

const SMALL_CHUNKS_AT_ONCE = 5_000;

const SMALL_CHUNKS_TOGETHER = callerCrowd.chunk(1).toString().repeat(SMALL_CHUNKS_AT_ONCE);

const WAITING_CHUNKS = 20_000;

const SLOW_MILLISECONDS = 4_000;

const REQUESTS = 5_000;

const REQUESTS_AT_ONCE = 250;

const HEADER_BYTES = 12 * 1_024;

const ANSWER_BYTES = 8 * 1_024 * 1_024;
