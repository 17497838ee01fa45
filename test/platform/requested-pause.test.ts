import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as platformHeaderCodec from '../../platform/platform-header-codec';
import * as requestedPause from '../../platform/requested-pause';
import * as capturedLog from '../support/captured-log';

const suite = uvu.suite('reading of the pause that a server asks for');

const codec = new platformHeaderCodec.PlatformHeaderCodec();

function read(retryAfter: string | undefined, status = 503): number | undefined {
  const headers: Record<string, string> =
    retryAfter === undefined ? {} : { 'retry-after': retryAfter };
  return codec.readAnswer({ status, headers }).limits.pauseMilliseconds;
}

const LONGEST = requestedPause.LONGEST_PAUSE_MILLISECONDS;

const TOO_LONG = 'pause of a backend server is too long; shortened it';
const UNREADABLE = 'pause of a backend server cannot be read; ignored it';

interface Case {
  readonly text?: string;
  readonly pause?: number;
  /** The line that has to be logged. */
  readonly notice?: string;
}

const CASES: readonly Case[] = [
  {},
  { text: '4', pause: 4_000 },
  { text: '0.25', pause: 250 },
  { text: '0', pause: 0 },
  { text: '1.', pause: 1_000 },
  { text: '0.1250000', pause: 125 },
  { text: '100000', pause: LONGEST, notice: TOO_LONG },
  { text: '99999999999999', pause: LONGEST, notice: TOO_LONG },
  { text: '9'.repeat(400), pause: LONGEST, notice: TOO_LONG },
  { text: '-1', notice: UNREADABLE },
  { text: '1e9', notice: UNREADABLE },
  { text: 'soon', notice: UNREADABLE },
  { text: '', notice: UNREADABLE },
  { text: '3, 5', notice: UNREADABLE },
  { text: 'Sun, 06 Dec 2026 13:00:00 GMT', notice: UNREADABLE },
];

// Guards against a value that keeps a server out for good, or that is dropped without a trace.
CASES.forEach(({ text, pause, notice }) =>
  suite(`Retry-After "${text?.slice(0, 30)}" is a pause of ${pause} ms`, async () => {
    const check = () => assert.is(read(text), pause);
    const tooLong = await capturedLog.linesOf(TOO_LONG, check);
    const unreadable = await capturedLog.linesOf(UNREADABLE, check);
    assert.is(tooLong.length, notice === TOO_LONG ? 1 : 0);
    assert.is(unreadable.length, notice === UNREADABLE ? 1 : 0);
  }),
);

suite('only an answer with status 503 asks for a pause', () =>
  [200, 429, 421, 500, 504].forEach((status) => assert.is(read('4', status), undefined)),
);

suite.run();
