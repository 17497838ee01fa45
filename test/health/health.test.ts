import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import * as health from '../../src/health';

const suite = uvu.suite('health');
const { Clear, Suspect, Held, Refused } = health.QuarantineStatus;

const crash = (quarantine: health.Quarantine, server: string, fingerprints: string[]) =>
  health.recordCrash(quarantine, health.crashIdOf(server, 'first'), fingerprints, 0);

suite('only fingerprints in flight at both of two crashes are refused', () => {
  const once = crash(health.EMPTY_QUARANTINE, 'runner-0', ['bad', 'bystander']);
  assert.is(health.quarantineStatus(once, 'bad', 0), Suspect);
  const twice = crash(once, 'runner-1', ['bad', 'other']);
  assert.equal(
    ['bad', 'bystander', 'other', 'new'].map((name) => health.quarantineStatus(twice, name, 0)),
    [Refused, Suspect, Suspect, Clear],
  );
});

suite('reports of several daemons about one crash count once', () => {
  const reported = crash(crash(health.EMPTY_QUARANTINE, 'runner-0', ['request']), 'runner-0', [
    'request',
  ]);
  assert.is(health.quarantineStatus(reported, 'request', 0), Suspect);
});

suite(
  'a request whose connections to two servers broke waits until probes show whether they crashed',
  () => {
    const lost = ['runner-0', 'runner-1'].reduce(
      (quarantine, server) =>
        health.recordConnectionLoss(quarantine, 'request', health.crashIdOf(server, 'first'), 0),
      health.EMPTY_QUARANTINE,
    );
    assert.is(health.quarantineStatus(lost, 'request', 1_000), Held);
    assert.is(health.quarantineStatus(lost, 'request', 4_000), Clear);
  },
);

suite('a suspect that ran to its end is cleared, a refused fingerprint is not', () => {
  const once = crash(health.EMPTY_QUARANTINE, 'runner-0', ['request']);
  assert.is(health.quarantineStatus(health.clearSuspect(once, 'request'), 'request', 0), Clear);
  const twice = crash(once, 'runner-1', ['request']);
  assert.is(health.quarantineStatus(health.clearSuspect(twice, 'request'), 'request', 0), Refused);
});

const PEERS = ['runner-0', 'runner-1', 'runner-2', 'runner-3'];

function timings(gaps: readonly number[], at = 0): health.Timings {
  return gaps.reduce(
    (all, gap, server) =>
      [1, 2, 3].reduce((sum) => health.recordPieceGap(sum, PEERS[server], gap, at), all),
    health.EMPTY_TIMINGS,
  );
}

const slowdowns = (timingsByServer: health.Timings, at = 0) => {
  const slow = new Map(health.slowdowns(timingsByServer, PEERS, at));
  return PEERS.map((server) => slow.get(server) ?? 1);
};

suite('a server much slower than its peers is a straggler after three samples', () => {
  assert.equal(slowdowns(timings([100, 100, 800, 110])), [1, 1, 8, 1]);
});

suite('a general rise of load makes no server a straggler', () => {
  assert.equal(slowdowns(timings([800, 700, 900, 800])), [1, 1, 1, 1]);
});

suite(
  'a straggler without requests counts as recovered after a while, else it never gets requests again',
  () => {
    assert.equal(slowdowns(timings([100, 100, 800, 100]), 31_000), [1, 1, 1, 1]);
  },
);

const OBSERVATIONS = fastCheck.array(
  fastCheck.record({
    server: fastCheck.nat(7),
    // The few different values make equal ones frequent.
    value: fastCheck.constantFrom(0, 0.5, 1, 2, 3, 10, 40),
    isGap: fastCheck.boolean(),
    at: fastCheck.nat(60_000),
  }),
  { maxLength: 80, size: 'max' },
);

// Guards against a comparison of all servers at once that finds other stragglers than one by one.
suite('a server is compared with the median of the others, its own value left out', () => {
  const servers = Array.from({ length: 8 }, (_, index) => `runner-${index}`);
  fastCheck.assert(
    fastCheck.property(OBSERVATIONS, (observations) => {
      const timingsByServer = observations.reduce(
        (all, { server, value, isGap, at }) =>
          (isGap ? health.recordPieceGap : health.recordFirstPiece)(
            all,
            servers[server],
            value,
            at,
          ),
        health.EMPTY_TIMINGS,
      );
      const expected = servers
        .map((server) => [server, slowdownAmong(timingsByServer, server, servers)] as const)
        .filter(([, factor]) => factor > 1);
      assert.equal(health.slowdowns(timingsByServer, servers, 50_000), expected);
    }),
    { seed: 20_261_204, numRuns: 2_000 },
  );
});

/** The rule for one server, by sorting the values of the others. */
function slowdownAmong(
  timingsByServer: health.Timings,
  server: string,
  servers: readonly string[],
): number {
  const own = timingsByServer.get(server);
  if (own === undefined || 50_000 - own.at > 30_000) {
    return 1;
  }
  const others = servers.filter((other) => other !== server && timingsByServer.has(other));
  const compare = (
    samples: 'pieceSamples' | 'firstPieceSamples',
    value: 'pieceGapMilliseconds' | 'firstPieceRatio',
  ) => {
    const values = others
      .map((other) => timingsByServer.get(other)!)
      .filter((timing) => timing[samples] >= 3)
      .map((timing) => timing[value])
      .sort((left, right) => left - right);
    const median = values[Math.floor((values.length - 1) / 2)];
    const ratio =
      own[samples] < 3 || values.length === 0 ? 1 : own[value] / Math.max(0.001, median);
    return ratio >= 2.5 ? ratio : 1;
  };
  return Math.max(
    compare('pieceSamples', 'pieceGapMilliseconds'),
    compare('firstPieceSamples', 'firstPieceRatio'),
  );
}

suite.run();
