import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as readline from 'node:readline';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as undici from 'undici';
import type * as lifecycle from '../../src/lifecycle';
import * as verdict from '../../src/verdict';
import * as build from '../backend/build';

const suite = uvu.suite('emulated servers in a process of their own');
suite.after.each(build.closeOwners);

const PROGRAM = path.join(__dirname, '../../src/emulator/run.js');

interface Running {
  readonly child: childProcess.ChildProcess;
  readonly port: number;
  readonly controlPort: number;
}

async function run(owner: lifecycle.LifecycleManager, ...flags: string[]): Promise<Running> {
  const child = childProcess.spawn(process.execPath, [PROGRAM, ...flags], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  owner.register('process', () => {
    child.kill('SIGKILL');
  });
  const lines = readline.createInterface({ input: child.stdout as NodeJS.ReadableStream });
  const [line] = await new Promise<string[]>((resolve) => {
    lines.once('line', (text) => resolve([text]));
  });
  return { child, ...JSON.parse(line) };
}

async function control(running: Running, command: string, body: object = {}) {
  const url = `http://127.0.0.1:${running.controlPort}/${command}`;
  const answer = await undici.request(url, { method: 'POST', body: JSON.stringify(body) });
  return JSON.parse(await answer.body.text());
}

function exitOf(running: Running): Promise<number | null> {
  return new Promise((resolve) => {
    running.child.once('exit', resolve);
  });
}

suite('a request to a stopped process times out with the verdict "may have run"', async () => {
  const owner = build.buildOwner();
  const running = await run(owner, '--kind', 'plain');
  const adapter = build.buildPlainAdapter(owner, running.port);
  assert.ok((await adapter.call(build.charge())).ok);
  running.child.kill('SIGSTOP');
  const request = build.charge({ timeoutMilliseconds: 300 });
  const failure = (await adapter.call(request)).val as verdict.RequestFailure;
  assert.is(failure.reason, verdict.FailureReason.Timeout);
  assert.is(failure.verdict, verdict.Verdict.MayHaveRun);
  running.child.kill('SIGCONT');
  // The request was in the kernel's buffer and did run, so "not run" would have been false.
  let executions = 0;
  while (executions === 0) {
    executions = (await control(running, 'report')).executions[request.requestId] ?? 0;
  }
  assert.is(executions, 1);
});

suite('SIGTERM finishes the stream in progress, refuses new ones and exits', async () => {
  const owner = build.buildOwner();
  const options = JSON.stringify({ decodeTokensPerSecond: 20, commentMilliseconds: 50 });
  const running = await run(owner, '--kind', 'engine', '--options', options);
  const adapter = build.buildEngineAdapter(owner, running.port);
  const stream = (await adapter.start(build.engineRequest('graceful'))).unwrap();
  const exit = exitOf(running);
  running.child.kill('SIGTERM');
  let refused = await adapter.start(build.engineRequest('refused'));
  while (refused.ok) {
    await refused.val.cancel();
    refused = await adapter.start(build.engineRequest('refused'));
  }
  assert.is(refused.val.reason, verdict.FailureReason.BackendLeaving);
  const { pieces } = await build.readStream(stream);
  assert.is(build.chatText(pieces), build.expectedText('graceful'));
  assert.is(await exit, 0);
});

suite('the control port accepts commands also while the server is down', async () => {
  const owner = build.buildOwner();
  const running = await run(owner, '--kind', 'engine');
  const adapter = build.buildEngineAdapter(owner, running.port);
  const before = (await adapter.probe()).unwrap().incarnation;
  await control(running, 'crash');
  assert.is((await adapter.probe()).err, true);
  await control(running, 'restart');
  assert.is.not((await adapter.probe()).unwrap().incarnation, before);
  await control(running, 'fault', { kind: 'refuse' });
  const refused = await adapter.start(build.engineRequest('refused'));
  assert.is((refused.val as verdict.RequestFailure).verdict, verdict.Verdict.NotRun);
});

suite.run();
