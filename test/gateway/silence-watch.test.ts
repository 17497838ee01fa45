import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as stallDetector from '../../src/gateway/stall-detector';
import * as countingClock from '../support/counting-clock';

const suite = uvu.suite('stall detector');

function createDetector(time = new clock.ManualClock()) {
  const reported: string[] = [];
  const detector = new stallDetector.StallDetector(time, {
    attemptFailed: (serverId) => reported.push(serverId),
  });
  return { time, reported, detector };
}

// Guards against requests that wait until their deadline for a server that has stopped responding.
suite('a server from which nothing arrives although requests run is reported', () => {
  const { time, reported, detector } = createDetector();
  detector.attemptSent('runner-0');
  time.advance(600);
  assert.equal(reported, []);
  time.advance(200);
  assert.equal(reported, ['runner-0']);
  detector.close();
});

suite('a server that answers any request, or runs none, is not reported', () => {
  const { time, reported, detector } = createDetector();
  detector.attemptSent('runner-0');
  detector.attemptSent('runner-0');
  for (let turn = 0; turn < 4; turn += 1) {
    time.advance(500);
    detector.dataReceived('runner-0');
  }
  detector.attemptEnded('runner-0');
  detector.attemptEnded('runner-0');
  time.advance(2_000);
  assert.equal(reported, []);
  detector.close();
});

/** The clock of a process that is not scheduled: time passes, but no timer fires. */
class StallingClock extends clock.ManualClock {
  private stalled = 0;

  override monotonic(): number {
    return super.monotonic() + this.stalled;
  }

  stall(milliseconds: number): void {
    this.stalled += milliseconds;
  }
}

// Guards against an overloaded daemon that has every server probed because it has not read their answers.
suite('a server is not reported for time in which the daemon itself did not run', () => {
  const time = new StallingClock();
  const { reported, detector } = createDetector(time);
  detector.attemptSent('runner-0');
  time.advance(300);
  time.stall(5_000);
  time.advance(300);
  assert.equal(reported, []);
  time.advance(200);
  assert.equal(reported, ['runner-0']);
  detector.close();
});

// Guards against hundreds of idle daemons that wake up ten times a second to check nothing.
suite('no timer runs while no request is in flight', () => {
  const time = new countingClock.CountingClock();
  const { reported, detector } = createDetector(time);
  time.advance(5_000);
  assert.is(time.timers, 0);
  detector.attemptSent('runner-0');
  time.advance(300);
  detector.attemptEnded('runner-0');
  time.advance(100);
  const { timers } = time;
  time.advance(5_000);
  assert.is(time.timers, timers);
  detector.attemptSent('runner-0');
  time.advance(800);
  assert.equal(reported, ['runner-0']);
  detector.close();
});

// Guards against a probe, and so a connection, each 0.7 s for each request that waits in the queue of a busy server.
suite('a server that stays silent is reported less and less often, until data arrives', () => {
  const { time, reported, detector } = createDetector();
  detector.attemptSent('runner-0');
  time.advance(5_000);
  assert.is(reported.length, 3);
  detector.dataReceived('runner-0');
  time.advance(800);
  assert.is(reported.length, 4);
  detector.close();
});

suite.run();
