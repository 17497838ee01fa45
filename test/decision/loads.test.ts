import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as fastCheck from 'fast-check';
import * as decision from '../../src/decision';
import * as builder from './builder';

const suite = uvu.suite('loads of all servers');
const { LoadReported, LoadsReported } = decision.DecisionEventKind;

const SERVERS = 4;
const AGE_MILLISECONDS = 220;

const HISTORIES = fastCheck.array(
  fastCheck.record({
    pause: fastCheck.nat(400),
    arrivals: fastCheck.nat(2),
    /** Requests of all daemons at each server; a server without any is left out of the message. */
    requests: fastCheck.array(fastCheck.nat(3), { minLength: SERVERS, maxLength: SERVERS }),
  }),
  { maxLength: 20 },
);

// Guards against reports about all servers that are applied differently from reports about single servers.
suite('one message about all servers has the same effect as one report about each server', () =>
  fastCheck.assert(
    fastCheck.property(HISTORIES, (history) => {
      const [whole, single] = [builder.createDriver(SERVERS), builder.createDriver(SERVERS)];
      history.forEach(({ pause, arrivals, requests }, turn) => {
        [whole, single].forEach((driver) => {
          driver.wait(pause);
          for (let index = 0; index < arrivals; index += 1) {
            driver.arrive(`request-${turn}-${index}`);
          }
        });
        const loads = builder.listServers(SERVERS).map(({ id }, index) => ({
          serverId: id,
          requests: requests[index],
          prefillTokens: requests[index] * 1_000,
          memoryTokens: requests[index] * 2_000,
        }));
        const reported = loads.filter((load) => load.requests > 0);
        whole.apply({
          kind: LoadsReported,
          at: whole.at,
          ageMilliseconds: AGE_MILLISECONDS,
          loads: reported,
        });
        loads.forEach((load) => reportOne(single, load));
        assert.equal(
          decision
            .currentServers(whole.state)
            .map(({ load }) => load)
            .toJS(),
          decision
            .currentServers(single.state)
            .map(({ load }) => load)
            .toJS(),
        );
      });
    }),
    { seed: 20_261_204, numRuns: 300 },
  ),
);

// Guards against a request that keeps waiting for a server that the other daemons report as free.
suite('a queued request is dispatched when a load report shows a free slot', () => {
  const driver = builder.createDriver(1, 1);
  const full = { serverId: 'runner-0', requests: 1, prefillTokens: 0, memoryTokens: 0 };
  const report = { kind: LoadsReported, ageMilliseconds: AGE_MILLISECONDS } as const;
  driver.wait(1_000).arrive('first').takeEffects(decision.DecisionEffectKind.Dispatch);
  driver.wait(1_000).apply({ ...report, at: driver.at, loads: [{ ...full, requests: 2 }] });
  driver.arrive('second');
  assert.is(driver.state.requests.get('second')?.attempts.length, 0);
  const [running] = driver.state.requests.get('first')!.attempts;
  driver.apply({
    kind: decision.DecisionEventKind.AttemptFinished,
    at: driver.at,
    requestId: 'first',
    attemptId: running.attemptId,
  });
  driver.wait(500).apply({ ...report, at: driver.at, loads: [] });
  assert.is(driver.state.requests.get('second')?.attempts.length, 1);
});

function reportOne(driver: builder.DecisionDriver, load: decision.ReportedLoad): void {
  driver.apply({
    kind: LoadReported,
    at: driver.at,
    serverId: load.serverId,
    incarnation: 'first',
    weightsVersion: '',
    ageMilliseconds: AGE_MILLISECONDS,
    runningRequests: load.requests,
    queuedRequests: 0,
    queuedPrefillTokens: load.prefillTokens,
    memoryTokens: load.memoryTokens,
  });
}

suite.run();
