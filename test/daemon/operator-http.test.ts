import * as uvu from 'uvu';
import * as assert from 'uvu/assert';
import * as command from '../../src/command';
import * as daemonBuilder from '../support/daemon-builder';

const suite = uvu.suite('operator HTTP');

const AUTHORIZED = { authorization: `Bearer ${daemonBuilder.OPERATOR_TOKEN}` };

function send(
  builder: daemonBuilder.DaemonBuilder,
  method: string,
  path: string,
  body = '',
  headers = AUTHORIZED,
): Promise<daemonBuilder.CallerAnswer> {
  return builder.request(method, path, body, headers, builder.running.operatorPort);
}

suite('no operator request is accepted without an operator token', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  await builder.run(async () => {
    for (const authorization of ['Bearer market-roasters-credential', 'Basic x', '']) {
      const answer = await send(builder, 'GET', '/operator/status', '', { authorization });
      assert.is(answer.status, 401);
      assert.is(command.errorResponseSchema.parse(JSON.parse(answer.text)).code, 'unauthorized');
    }
    assert.is((await send(builder, 'GET', '/readyz', '', { authorization: '' })).status, 200);
  });
});

suite('answers fit the schemas of the command', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  await builder.run(async () => {
    const read = async (path: string) => JSON.parse((await send(builder, 'GET', path)).text);
    const status = command.statusResponseSchema.parse(await read('/operator/status'));
    assert.equal(
      status.backendServers.map((entry) => entry.service),
      ['inspection-desk', 'sack-ledger'],
    );
    command.revisionsResponseSchema.parse(await read('/operator/revisions'));
    command.historyResponseSchema.parse(await read('/operator/history?limit=3'));
    const active = command.configurationResponseSchema.parse(await read('/operator/configuration'));
    assert.is(active.contentHash, status.contentHash);
  });
});

suite('a publish with conflicting documents is rejected with its problems', async () => {
  const builder = new daemonBuilder.DaemonBuilder();
  await builder.run(async () => {
    const request = {
      publishId: '0190163d-8694-739b-aea5-966c26f8ad91',
      author: 'desk',
      baseRevision: 1,
      upserts: [],
      removals: ['service/inspection-desk'],
    };
    const refused = await send(builder, 'POST', '/operator/publish', JSON.stringify(request));
    assert.is(refused.status, 422);
    const { problems } = command.errorResponseSchema.parse(JSON.parse(refused.text));
    assert.ok(problems.some((problem) => problem.includes('inspection-desk')));
    assert.is((await send(builder, 'POST', '/operator/publish', '{')).status, 422);
    assert.is((await send(builder, 'GET', '/operator/history?limit=0')).status, 422);
    assert.is((await send(builder, 'GET', '/operator/unknown')).status, 404);
  });
});

suite.run();
