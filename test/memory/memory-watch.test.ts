import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as clock from '../../src/clock';
import * as memory from '../../src/memory';
import * as metrics from '../../src/metrics';
import * as recordingMetrics from '../support/recording-metrics';

const suite = uvu.suite('memory watch');

const { MemoryKind } = memory;

class WatchedProcess {
  readonly time = new clock.ManualClock();

  readonly meter = new recordingMetrics.RecordingMetrics();

  readonly account = new memory.MemoryAccount(1_000e6);

  residentBytes = 50e6;

  fullCollections = 0;

  recentCollections = 0;

  /** Processor time of a collection. */
  collectMilliseconds = 0;

  /** Time that has passed during collections; a timer that runs cannot advance the clock itself. */
  private spentMilliseconds = 0;

  readonly watch = new memory.MemoryWatch(
    {
      account: this.account,
      time: this.spendingTime(),
      meter: this.meter,
      residentBytes: () => this.residentBytes,
      garbage: {
        collectRecent: () => {
          this.spend();
          this.recentCollections += 1;
        },
        collectAll: () => {
          this.spend();
          this.fullCollections += 1;
        },
      },
    },
    100e6,
  );

  private spend(): void {
    this.spentMilliseconds += this.collectMilliseconds;
  }

  private spendingTime(): clock.Clock {
    const { time } = this;
    return {
      monotonic: () => time.monotonic() + this.spentMilliseconds,
      now: () => time.now(),
      setTimer: (milliseconds, action) => time.setTimer(milliseconds, action),
      sleep: (milliseconds) => time.sleep(milliseconds),
    };
  }
}

// Guards against a collection that takes processor time again and again without freeing anything.
suite('garbage is collected near the limit, and again only when the memory has grown', () => {
  const watched = new WatchedProcess();
  watched.time.advance(5_000);
  assert.is(watched.fullCollections, 0);
  watched.residentBytes = 101e6;
  watched.time.advance(20_000);
  assert.is(watched.fullCollections, 1);
  watched.residentBytes = 110e6;
  watched.time.advance(20_000);
  assert.is(watched.fullCollections, 2);
  watched.watch.close();
});

// Guards against bytes that arrive faster than the watch looks, however fast the machine is.
suite('what is received near the limit is collected without waiting for a timer', () => {
  const watched = new WatchedProcess();
  watched.residentBytes = 120e6;
  watched.account.noteReceived(8e6);
  assert.is(watched.fullCollections, 1);
  watched.residentBytes = 130e6;
  watched.account.noteReceived(8e6);
  assert.is(watched.fullCollections, 1, 'full collections have a distance');
  assert.is(watched.recentCollections, 1);
  watched.watch.close();
});

// Guards against an account that stays small after the process has recovered, and against missing metrics.
suite('the account admits less only while memory is short', () => {
  const watched = new WatchedProcess();
  watched.residentBytes = 120e6;
  watched.time.advance(1_000);
  assert.not(watched.account.tryAdd(MemoryKind.UnfinishedBodies, 300e6));
  watched.residentBytes = 80e6;
  watched.time.advance(1_000);
  assert.ok(watched.account.tryAdd(MemoryKind.UnfinishedBodies, 300e6));
  watched.time.advance(1_000);
  assert.is(watched.meter.gauges.get(metrics.Gauge.UnfinishedBodyBytes), 300e6);
  watched.watch.close();
});

// Guards against collections that take a large part of the processor's time.
suite('the next collection comes no sooner than many times the duration of the last', () => {
  const watched = new WatchedProcess();
  watched.collectMilliseconds = 50;
  watched.residentBytes = 120e6;
  for (let count = 0; count < 100; count += 1) {
    watched.residentBytes += 10e6;
    watched.account.noteReceived(8e6);
    watched.time.advance(10);
  }
  const collections = watched.fullCollections + watched.recentCollections;
  assert.ok(collections >= 1 && collections <= 3, String(collections));
  watched.watch.close();
});

// Guards against an idle process on a small VM that is always short of memory, and against a state that changes with each sample.
suite('memory of an idle process is not short, and the state has a hysteresis', () => {
  const watched = new WatchedProcess();
  watched.residentBytes = 103e6;
  watched.watch.noteIdle();
  const admits = () => {
    watched.time.advance(200);
    return watched.account.tryAdd(MemoryKind.UnfinishedBodies, 300e6);
  };
  assert.ok(admits());
  watched.account.add(MemoryKind.UnfinishedBodies, -300e6);
  watched.residentBytes = 114e6;
  assert.not(admits());
  watched.residentBytes = 108e6;
  assert.not(admits(), 'still short a little below the limit');
  watched.residentBytes = 103e6;
  assert.ok(admits());
  watched.watch.close();
});

suite.run();
