/**
 * The demo: three daemons in three availability zones, emulated engines and a plain service, one process
 * each. Exits with code 0 when every answer is correct and the charge ran once.
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as yaml from 'yaml';
import * as emulator from '../emulator';
import * as chatCall from './chat';
import * as childProcess from './child-process';
import * as documents from './example-documents';
import * as httpCall from './http-call';
import * as idempotencyKey from './idempotency-key';
import * as localCluster from './local-cluster';

interface Row {
  readonly step: string;
  readonly expected: string;
  readonly seen: string;
  readonly isRight: boolean;
}

const PREAMBLE = 'The desk assesses returned sacks by the rules of the municipal works. '.repeat(
  200,
);

async function main(): Promise<void> {
  const started = Date.now();
  const cluster = await localCluster.LocalCluster.start(
    {
      daemons: 3,
      engines: 3,
      services: 1,
      engineOptions: documents.ENGINE_OPTIONS,
    },
    { model: documents.MODEL_SERVICE.name, plain: documents.PLAIN_SERVICE.name },
  );
  try {
    const rows = [
      await publish(cluster),
      ...(await streamChats(cluster)),
      ...(await chargeTwice(cluster)),
    ];
    print(rows, Date.now() - started);
    process.exitCode = rows.every((row) => row.isRight) ? 0 : 1;
  } finally {
    await cluster.close();
  }
}

/** Writes the configuration as files and publishes them with the `figline` command. */
async function publish(cluster: localCluster.LocalCluster): Promise<Row> {
  const folder = path.join(cluster.folder, 'configuration');
  await fs.mkdir(folder);
  const text = documents.DOCUMENTS.map((document) => yaml.stringify(document)).join('---\n');
  await fs.writeFile(path.join(folder, 'figline.yaml'), text);
  const urls = cluster.daemons.map((daemon) => `http://127.0.0.1:${daemon.operatorPort}`);
  const figline = childProcess.ChildProcess.start(
    path.join(__dirname, '../bin/figline.js'),
    [
      ...['publish', folder, '--author', 'demo', '--json'],
      ...['--operator', urls.join(','), '--operator-token-file', cluster.tokenFile],
    ],
    path.join(cluster.folder, 'publish.log'),
  );
  const exitCode = await figline.exit;
  await cluster.awaitReady();
  return {
    step: 'figline publish',
    expected: 'exit code 0, daemons ready',
    seen: `exit code ${exitCode}, ${cluster.daemons.length} daemons ready`,
    isRight: exitCode === 0,
  };
}

/** Streams chats of two teams through all daemons; they share a long preamble. */
async function streamChats(cluster: localCluster.LocalCluster): Promise<readonly Row[]> {
  const { depot, treasury } = documents.TEAM_TOKENS;
  const teams = [
    { name: 'depot', token: depot },
    { name: 'treasury', token: treasury },
  ];
  const rows: Row[] = [];
  for (const [index, daemon] of cluster.daemons.entries()) {
    for (const team of teams) {
      const outcome = await chatCall.chat({
        port: daemon.callerPort,
        token: team.token,
        model: documents.INTENT.name,
        prompt: `${PREAMBLE}Sack ${index}: torn seam.`,
        outputTokens: 24,
        weightsVersion: documents.MODEL_SERVICE.weightsVersion,
      });
      rows.push({
        step: `chat of ${team.name} through ${daemon.options.daemonId}`,
        expected: 'complete and correct',
        seen:
          outcome.status === 200
            ? `${outcome.text.split(' ').length - 1} words, revision ${outcome.revision}`
            : `status ${outcome.status}, ${outcome.verdict}`,
        isRight: outcome.isCorrect && outcome.hasEnd,
      });
    }
  }
  return rows;
}

/** Sends a charge with an idempotency key and repeats it through another daemon. */
async function chargeTwice(cluster: localCluster.LocalCluster): Promise<readonly Row[]> {
  const key = idempotencyKey.newKey(Date.now());
  const charge = (index: number) =>
    httpCall.send({
      port: cluster.daemons[index].callerPort,
      method: 'POST',
      path: '/ledger/charges',
      token: documents.TEAM_TOKENS.depot,
      headers: { 'idempotency-key': key, 'content-type': 'application/json' },
      body: JSON.stringify({ account: 'stall-7', amountCents: 1_250 }),
    });
  const first = await charge(0);
  const second = await charge(1);
  const { executions } = await cluster.services[0].control<emulator.PlainServiceReport>('report');
  const count = executions[key] ?? 0;
  return [
    {
      step: 'charge through daemon-1',
      expected: 'status 201, ran',
      seen: `status ${first.status}, ${first.headers['x-figline-verdict']}`,
      isRight: first.status === 201,
    },
    {
      step: 'same charge through daemon-2',
      expected: 'recorded answer',
      seen: `status ${second.status}, replayed ${second.headers['x-figline-replayed']}`,
      isRight: second.status === 201 && second.text === first.text,
    },
    {
      step: 'executions at the plain service',
      expected: '1',
      seen: String(count),
      isRight: count === 1,
    },
  ];
}

function print(rows: readonly Row[], milliseconds: number): void {
  const widths = (['step', 'expected', 'seen'] as const).map((column) =>
    Math.max(column.length, ...rows.map((row) => row[column].length)),
  );
  const line = (cells: readonly string[]) =>
    cells.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ');
  const text = [
    line(['step', 'expected', 'seen', 'right']),
    ...rows.map((row) => line([row.step, row.expected, row.seen, row.isRight ? 'yes' : 'NO'])),
    `finished after ${(milliseconds / 1_000).toFixed(1)} s`,
  ];
  process.stdout.write(`${text.join('\n')}\n`);
}

main().catch((error: Error) => {
  process.stderr.write(`demo: ${error.message}\n`);
  process.exitCode = 1;
});
