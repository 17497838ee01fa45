import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as decision from '../../src/decision';
import * as verdict from '../../src/verdict';
import * as builder from './builder';

const suite = uvu.suite('decision');
const { Dispatch, Fail } = decision.DecisionEffectKind;

suite('a non-idempotent request that may have run is failed and never sent again', () => {
  const desk = builder.desk(2).arrive('deposit', { idempotent: false });
  const [first] = desk.take(Dispatch);
  desk.lose(first, verdict.Verdict.MayHaveRun);
  assert.is(desk.take(Dispatch).length, 0);
  assert.is(desk.take(Fail)[0].failure.verdict, verdict.Verdict.MayHaveRun);
});

suite('an idempotent stream resumes at another server from the first undelivered piece', () => {
  const desk = builder.desk(2).arrive('history');
  const [first] = desk.take(Dispatch);
  desk.piece(first, 3).lose(first, verdict.Verdict.MayHaveRun);
  const [second] = desk.take(Dispatch);
  assert.is(second.resumeFrom, 3);
  assert.is.not(second.serverId, first.serverId);
});

suite.run();
