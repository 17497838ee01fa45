import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as verdict from '../../src/verdict';

const suite = uvu.suite('verdict');
const { NotRun, MayHaveRun, Ran } = verdict.Verdict;

suite('a non-idempotent request that may have run is never retried', () => {
  assert.is(verdict.mayRetry(MayHaveRun, false), false);
  assert.is(verdict.mayRetry(MayHaveRun, true), true);
  assert.is(verdict.mayRetry(NotRun, false), true);
  assert.is(verdict.mayRetry(Ran, true), false);
});

suite('a request with one attempt that may have run is not reported as not run', () => {
  assert.is(verdict.combine(MayHaveRun, NotRun), MayHaveRun);
  assert.is(verdict.combine(NotRun, MayHaveRun), MayHaveRun);
  assert.is(verdict.combine(Ran, MayHaveRun), Ran);
});

suite.run();
