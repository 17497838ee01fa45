import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as command from '../../src/command';
import * as builder from '../configuration/builder';
import * as fakeDaemon from './fake-daemon';
import * as immediateClock from './immediate-clock';

interface Context {
  daemon: fakeDaemon.FakeDaemon;
  url: string;
  folder: string;
}

const suite = uvu.suite<Context>('command');
const { ExitCode } = command;
const SECRETS = 'secrets';

suite.before.each(async (context) => {
  context.daemon = new fakeDaemon.FakeDaemon();
  context.url = await context.daemon.start();
  context.folder = builder.writeFolder({
    'desk/figline.yaml': builder.VALID_TEXT,
    [SECRETS]: `${fakeDaemon.TOKEN}\n`,
  });
  fs.chmodSync(path.join(context.folder, SECRETS), 0o600);
});

suite.after.each(async (context) => {
  await context.daemon.stop();
  fs.rmSync(context.folder, { recursive: true });
});

/** Runs one command line against the context's daemon. */
async function figline(context: Context, line: string, environment = {}) {
  let output = '';
  let errors = '';
  const code = await command.run(line.split(' ').filter(Boolean), {
    environment: {
      FIGLINE_OPERATOR_URL: context.url,
      FIGLINE_OPERATOR_TOKEN_FILE: path.join(context.folder, SECRETS),
      FIGLINE_AUTHOR: 'desk',
      ...environment,
    },
    time: new immediateClock.ImmediateClock(),
    writeOutput: (text) => {
      output += text;
    },
    writeError: (text) => {
      errors += text;
    },
  });
  return { code, output, errors };
}

function competingPublish(context: Context, baseRevision: number): command.PublishRequest {
  const { documents } = builder.collect({ 'figline.yaml': builder.VALID_TEXT });
  const publishId = '00000000-0000-4000-8000-00000000000a';
  const upserts = [...documents];
  return { publishId, author: 'rival', baseRevision, upserts, removals: [] };
}

suite(
  'a publish is active on all live daemons, and the same files again change nothing',
  async (context) => {
    const first = await figline(context, `publish ${context.folder} --json`);
    assert.is(first.code, ExitCode.Success, first.errors);
    const printed = JSON.parse(first.output);
    assert.is(printed.revision, 1);
    assert.equal(printed.applied, ['entry-1']);
    assert.is(printed.publishId, context.daemon.publishIds[0]);
    const second = await figline(context, `publish ${context.folder}`);
    assert.is(second.code, ExitCode.Success);
    assert.match(second.output, 'no change: revision 1');
    assert.is(context.daemon.publishIds.length, 1);
  },
);

suite('no request is sent and nothing is published when any file is invalid', async (context) => {
  fs.writeFileSync(path.join(context.folder, 'bad.figline.yaml'), 'kind: team\nnmae: x\n');
  for (const name of ['check', 'diff', 'publish']) {
    const result = await figline(context, `${name} ${context.folder}`);
    assert.is(result.code, ExitCode.InvalidConfiguration);
    assert.match(result.errors, 'bad.figline.yaml:2:1: unknown field nmae; did you mean name?');
  }
  assert.equal(context.daemon.requests, []);
});

suite(
  'a conflict names the accepted publish, so that the other operator can contact its author',
  async (context) => {
    context.daemon.beforePublish = () => {
      context.daemon.accept(competingPublish(context, 0));
    };
    const result = await figline(context, `publish ${context.folder}`);
    assert.is(result.code, ExitCode.Conflict);
    assert.match(result.errors, /rival won with publish 0{8}-0{4}-4000-8000-0{11}a, revision 1/);
    assert.is(context.daemon.history.length, 1);
  },
);

suite(
  'a base revision that is no longer active is a conflict even without removals',
  async (context) => {
    context.daemon.accept(competingPublish(context, 0));
    fs.writeFileSync(
      path.join(context.folder, 'desk/figline.yaml'),
      builder.VALID_TEXT.split('---')[0],
    );
    const stale = await figline(context, `publish ${context.folder} --base-revision 0`);
    assert.is(stale.code, ExitCode.Conflict);
    assert.match(stale.errors, 'rival won');
    const early = await figline(context, `publish ${context.folder} --base-revision 2`);
    assert.is(early.code, ExitCode.Refused);
  },
);

suite(
  'after a lost answer the same publish id is sent again and publishes once',
  async (context) => {
    context.daemon.answersToLose = 2;
    const result = await figline(context, `publish ${context.folder}`);
    assert.is(result.code, ExitCode.Success, result.errors);
    assert.is(context.daemon.publishIds.length, 3);
    assert.is(new Set(context.daemon.publishIds).size, 1);
    assert.is(context.daemon.history.length, 1);
  },
);

suite(
  'an outcome that remains unknown is reported as unknown and can be determined later',
  async (context) => {
    context.daemon.answersToLose = 100;
    const first = await figline(context, `publish ${context.folder}`);
    assert.is(first.code, ExitCode.OutcomeUnknown);
    const [, publishId] = /run again with --publish-id (\S+)/.exec(first.errors) as RegExpExecArray;
    context.daemon.answersToLose = 0;
    const second = await figline(context, `publish ${context.folder} --publish-id ${publishId}`);
    assert.is(second.code, ExitCode.Success);
    assert.match(second.output, 'published before as revision 1');
    assert.is(context.daemon.history.length, 1);
  },
);

suite(
  'a lost answer keeps the outcome unknown although a later attempt is rejected',
  async (context) => {
    context.daemon.refusals.push(
      command.OperatorErrorCode.Timeout,
      command.OperatorErrorCode.Invalid,
    );
    const result = await figline(context, `publish ${context.folder}`);
    assert.is(result.code, ExitCode.OutcomeUnknown);
  },
);

suite(
  'a live daemon that lags is named, and one without a link does not block',
  async (context) => {
    const peer = {
      zone: 'cp-forest',
      address: '127.0.0.1:2',
      revision: 0,
      millisecondsSinceHeard: 9,
    };
    context.daemon.peers = [
      { ...peer, daemonId: 'entry-2', connected: true },
      { ...peer, daemonId: 'entry-3', connected: false },
    ];
    const result = await figline(context, `publish ${context.folder}`);
    assert.is(result.code, ExitCode.DaemonsLag);
    assert.match(result.errors, 'entry-2 (zone cp-forest) lags: it reports revision 0');
    assert.match(result.errors, 'entry-3 (zone cp-forest) has no link');
    context.daemon.peers.shift();
    fs.appendFileSync(path.join(context.folder, 'desk/figline.yaml'), 'share: 2\n');
    const next = await figline(context, `publish ${context.folder}`);
    assert.is(next.code, ExitCode.Success, next.errors);
  },
);

suite('a publish of too few files removes nothing without permission', async (context) => {
  await figline(context, `publish ${context.folder}`);
  fs.writeFileSync(
    path.join(context.folder, 'desk/figline.yaml'),
    builder.VALID_TEXT.split('---')[0],
  );
  const refused = await figline(context, `publish ${context.folder}`);
  assert.is(refused.code, ExitCode.Refused);
  assert.match(refused.errors, '- team/market-roasters');
  const diff = await figline(context, `diff ${context.folder}`);
  assert.is(diff.code, ExitCode.ChangesExist);
  assert.match(diff.output, '- service/sack-ledger');
  const allowed = await figline(context, `publish ${context.folder} --allow-removals`);
  assert.is(allowed.code, ExitCode.Success, allowed.errors);
  assert.is((await figline(context, `diff ${context.folder}`)).code, ExitCode.Success);
});

suite('unreachable daemons and wrong tokens have separate exit codes', async (context) => {
  const stopped = new fakeDaemon.FakeDaemon();
  const url = await stopped.start();
  await stopped.stop();
  const unreachable = await figline(context, `publish ${context.folder} --operator ${url}`);
  assert.is(unreachable.code, ExitCode.Unreachable);
  assert.match(unreachable.errors, 'could not be connected to');
  const second = await figline(context, `status --operator ${url},${context.url}`);
  assert.is(second.code, ExitCode.Success, 'the next daemon is asked');
  fs.writeFileSync(path.join(context.folder, SECRETS), 'another-token-0123456789abcdef0123');
  const refused = await figline(context, `publish ${context.folder}`);
  assert.is(refused.code, ExitCode.Unauthorized);
});

suite(
  'an invalid command line sends nothing and its message says what would be right',
  async (context) => {
    const cases: [string, string, object?][] = [
      ['publsh x', 'unknown command publsh; did you mean publish?'],
      ['', 'a command is missing'],
      ['publish', 'missing required args'],
      ['publish a b', 'unexpected argument b'],
      ['status --operater x', 'unknown flag --operater; did you mean --operator?'],
      ['publish a --wait-seconds soon', '--wait-seconds: use a number'],
      ['publish a --publish-id 7', '--publish-id: '],
      ['history --limit 0', '--limit: use 1 to 1000'],
      ['status', 'set FIGLINE_OPERATOR_URL', { FIGLINE_OPERATOR_URL: undefined }],
      ['status --operator localhost', 'is no URL'],
      ['status --operator-token-file /absent', 'cannot be read'],
    ];
    for (const [line, message, environment] of cases) {
      const result = await figline(context, line, environment);
      assert.is(result.code, ExitCode.Usage, line);
      assert.match(result.errors, message);
    }
    assert.equal(context.daemon.requests, []);
  },
);

suite('the read-only commands print the answer of a daemon', async (context) => {
  await figline(context, `publish ${context.folder}`);
  assert.match((await figline(context, 'status')).output, 'control: leader, term 3');
  assert.match(
    (await figline(context, 'teams')).output,
    /market-roasters +1 +1 +inspection-desk, /,
  );
  assert.match((await figline(context, 'services')).output, 'GET /ledger, GET|POST');
  const history = await figline(context, 'history --json --limit 5');
  assert.is(JSON.parse(history.output).entries[0].author, 'desk');
});

suite('a credential is random and its hash is the one that team files need', async (context) => {
  const first = JSON.parse((await figline(context, 'credential --json')).output);
  const second = JSON.parse((await figline(context, 'credential --json')).output);
  assert.is.not(first.credential, second.credential);
  assert.match(first.hash, /^[0-9a-f]{64}$/);
});

suite('the program ends with the documented exit code and prints help with an example', () => {
  const program = path.join(__dirname, '../../src/bin/figline.js');
  const wrong = childProcess.spawnSync(process.execPath, [program, 'check', '/absent']);
  assert.is(wrong.status, ExitCode.InvalidConfiguration);
  const help = childProcess.spawnSync(process.execPath, [program, 'publish', '--help']);
  assert.is(help.status, 0);
  assert.match(help.stdout.toString(), 'Examples:\n  $ figline publish');
});

suite.run();
