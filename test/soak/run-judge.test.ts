import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import type * as platformProcess from '../../tools/local/platform-process';
import * as dispatchHistory from './dispatch-history';
import * as runJudge from './run-judge';
import * as soakDocument from './soak-document';
import type * as soakEngine from './soak-engine';
import * as teamHistory from './team-history';

const suite = uvu.suite('judge of the runs of an engine soak');

const APPLY_MILLISECONDS = 2_500;

/** From here on a document that isolates the school has to be in force. */
const IN_FORCE = 10_000 + APPLY_MILLISECONDS;

const TIME_ORIGIN = Date.parse('2026-12-06T00:00:00Z');

/** The school is isolated by a document that is acknowledged 10 s after the start. */
function isolatedSchool(): teamHistory.TeamHistory {
  const teams = new teamHistory.TeamHistory();
  teams.send(new Set(['depot']), 0)(0);
  teams.send(new Set(['depot', 'school']), 9_000)(10_000);
  return teams;
}

function runOf(
  id: string,
  team: string,
  at: number,
  used: soakEngine.EngineRun['used'],
): soakEngine.EngineRun {
  const engine = 'i-1';
  return { id, team, at, used, engine, path: '/balance/1', salt: '1.desk', weightsVersion: 1 };
}

function dispatchLine(
  requestId: string,
  at: number,
  changes: object = {},
): platformProcess.LogLine {
  const time = new Date(TIME_ORIGIN + at).toISOString();
  const message = dispatchHistory.DISPATCHED;
  return { message, time, requestId, backendServer: 'i-1', cacheSalt: '1.desk', ...changes };
}

/** Broken promises after the market has used at one time what the school made at another, with these log lines. */
function violationsOf(
  madeAt: number,
  usedAt: number,
  lines: readonly platformProcess.LogLine[],
): readonly runJudge.Violation[] {
  const judge = new runJudge.RunJudge(isolatedSchool());
  const { Balance: kind } = soakDocument.RequestKind;
  judge.send({ id: 'made', team: 'school', path: '/balance/1', kind });
  judge.send({ id: 'used', team: 'market', path: '/balance/1', kind });
  judge.began(runOf('made', 'school', madeAt, []));
  const part = { id: 'made', engine: 'i-1', team: 'school', weightsVersion: 1, madeAt };
  judge.began(runOf('used', 'market', usedAt, [part]));
  judge.finish(new dispatchHistory.DispatchHistory(lines, TIME_ORIGIN), APPLY_MILLISECONDS);
  return judge.violations;
}

const MADE = dispatchLine('made', 4_990);

// Guards against a violation for what was dispatched in time and has waited at the engine or in a silent connection.
suite(
  'a use that was dispatched before the document was in force is allowed however late it is',
  () => {
    const lines = [MADE, dispatchLine('used', IN_FORCE - 1)];
    assert.equal(violationsOf(5_000, IN_FORCE + 60_000, lines), []);
  },
);

// Guards against a late dispatch that the time for connections hides.
suite('a use that was dispatched once the document was in force is a violation at any time', () => {
  const lines = [MADE, dispatchLine('used', IN_FORCE)];
  const [violation, ...others] = violationsOf(5_000, IN_FORCE + 1, lines);
  assert.match(violation.text, /used: of market uses at i-1 a part that school made/);
  assert.equal(others, []);
});

suite('a part is judged by the dispatch of the request that made it too', () => {
  const allowed = [dispatchLine('made', IN_FORCE - 1), dispatchLine('used', IN_FORCE - 1)];
  assert.equal(violationsOf(IN_FORCE + 4_000, IN_FORCE + 4_001, allowed), []);
  const late = [dispatchLine('made', IN_FORCE), dispatchLine('used', IN_FORCE - 1)];
  assert.is(violationsOf(IN_FORCE + 1, IN_FORCE + 2, late).length, 1);
});

// Guards against a run without its line, or with that of another attempt, that is not judged.
suite('a run without the line of its dispatch is judged by the time at the engine', () => {
  const used = IN_FORCE - 1;
  const others = [
    [],
    [dispatchLine('other', used)],
    [dispatchLine('used', used, { backendServer: 'i-2' })],
    [dispatchLine('used', used, { cacheSalt: '1.desk:2' })],
    [dispatchLine('used', used, { message: 'attempt failed' })],
    [dispatchLine('used', IN_FORCE + 4_000)],
  ];
  others.forEach((lines) => {
    assert.equal(violationsOf(5_000, IN_FORCE + 2_999, [MADE, ...lines]), []);
    assert.is(violationsOf(5_000, IN_FORCE + 3_000, [MADE, ...lines]).length, 1);
  });
});

suite('of several dispatches that may have led to a run the last is judged', () => {
  const lines = [MADE, dispatchLine('used', IN_FORCE), dispatchLine('used', 11_000)];
  assert.is(violationsOf(5_000, IN_FORCE + 100, lines).length, 1);
});

suite.run();
