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

// Guards against sums that are taken over in another way than the reports of single servers.
suite('one message about all servers has the effect of a report about each', () =>
  fastCheck.assert(
    fastCheck.property(HISTORIES, (history) => {
      const [whole, single] = [builder.createDriver(SERVERS), builder.createDriver(SERVERS)];
      history.forEach(({ pause, arrivals, requests }, turn) => {
        [whole, single].forEach((desk) => {
          desk.wait(pause);
          for (let index = 0; index < arrivals; index += 1) {
            desk.arrive(`request-${turn}-${index}`);
          }
        });
        const loads = builder.listServers(SERVERS).map(({ id }, place) => ({
          serverId: id,
          requests: requests[place],
          prefillTokens: requests[place] * 1_000,
          memoryTokens: requests[place] * 2_000,
        }));
        const told = loads.filter((load) => load.requests > 0);
        whole.apply({
          kind: LoadsReported,
          at: whole.at,
          ageMilliseconds: AGE_MILLISECONDS,
          loads: told,
        });
        loads.forEach((load) => reportOne(single, load));
        assert.equal(
          whole.state.servers.map(({ load }) => load).toJS(),
          single.state.servers.map(({ load }) => load).toJS(),
        );
      });
    }),
    { seed: 20_261_204, numRuns: 300 },
  ),
);

// Guards against requests that go on waiting for a server of which the others say that it is free.
suite('a queued request is sent when the message shows a free slot', () => {
  const desk = builder.createDriver(1, 1);
  const full = { serverId: 'runner-0', requests: 1, prefillTokens: 0, memoryTokens: 0 };
  const told = { kind: LoadsReported, ageMilliseconds: AGE_MILLISECONDS } as const;
  desk.wait(1_000).arrive('first').takeEffects(decision.DecisionEffectKind.Dispatch);
  desk.wait(1_000).apply({ ...told, at: desk.at, loads: [{ ...full, requests: 2 }] });
  desk.arrive('second');
  assert.is(desk.state.requests.get('second')?.attempts.length, 0);
  const [running] = desk.state.requests.get('first')!.attempts;
  desk.apply({
    kind: decision.DecisionEventKind.AttemptFinished,
    at: desk.at,
    requestId: 'first',
    attemptId: running.attemptId,
  });
  desk.wait(500).apply({ ...told, at: desk.at, loads: [] });
  assert.is(desk.state.requests.get('second')?.attempts.length, 1);
});

function reportOne(desk: builder.DecisionDriver, load: decision.ReportedLoad): void {
  desk.apply({
    kind: LoadReported,
    at: desk.at,
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
