import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as stallDetector from '../../src/gateway/stall-detector';

const suite = uvu.suite('silence watch');

function watched(time = new clock.ManualClock()) {
  const reported: string[] = [];
  const watch = new stallDetector.StallDetector(time, {
    attemptFailed: (serverId) => reported.push(serverId),
  });
  return { time, reported, watch };
}

// Guards against requests that wait for a server that fell silent until their deadline.
suite('a server with work from which nothing arrives is reported', () => {
  const { time, reported, watch } = watched();
  watch.attemptSent('runner-0');
  time.advance(600);
  assert.equal(reported, []);
  time.advance(200);
  assert.equal(reported, ['runner-0']);
  watch.close();
});

suite('a server that answers somebody, or has no work, is not reported', () => {
  const { time, reported, watch } = watched();
  watch.attemptSent('runner-0');
  watch.attemptSent('runner-0');
  for (let turn = 0; turn < 4; turn += 1) {
    time.advance(500);
    watch.dataReceived('runner-0');
  }
  watch.attemptEnded('runner-0');
  watch.attemptEnded('runner-0');
  time.advance(2_000);
  assert.equal(reported, []);
  watch.close();
});

/** A clock of a process that did not get to run: time passes and no timer fires. */
class StallingClock extends clock.ManualClock {
  private stalled = 0;

  override monotonic(): number {
    return super.monotonic() + this.stalled;
  }

  stall(milliseconds: number): void {
    this.stalled += milliseconds;
  }
}

// Guards against an overloaded daemon that has every server probed because it did not read their answers.
suite('time for which the daemon stood still is not counted as silence of its servers', () => {
  const time = new StallingClock();
  const { reported, watch } = watched(time);
  watch.attemptSent('runner-0');
  time.advance(300);
  time.stall(5_000);
  time.advance(300);
  assert.equal(reported, []);
  time.advance(200);
  assert.equal(reported, ['runner-0']);
  watch.close();
});

suite.run();
