import * as cac from 'cac';
import * as clock from '../clock';
import * as suggestion from '../suggestion';
import * as credential from './credential';
import * as exitCode from './exit-code';
import * as files from './files';
import * as inspect from './inspect';
import type * as operatorClient from './operator-client';
import * as options from './options';
import * as outcome from './outcome';
import * as publish from './publish';
import * as trace from './trace';

/** Environment variables, clock and output streams of one run; tests replace all of them. */
export interface CommandContext {
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly time: clock.Clock;
  readonly writeOutput: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/**
 * Runs one `figline` command line.
 *
 * @param commandArguments without the program's name, for example `['check', 'services']`
 * @returns one of the documented exit codes; the promise never rejects
 * @example
 * process.exitCode = await run(process.argv.slice(2), context);
 */
export async function run(
  commandArguments: readonly string[],
  context: CommandContext,
): Promise<exitCode.ExitCode> {
  let result: outcome.Outcome;
  let isJson = false;
  try {
    const cli = buildCommands(context);
    cli.parse(['node', 'figline', ...commandArguments], { run: false });
    if (cli.options.help || (cli.options.version && cli.matchedCommand === undefined)) {
      return exitCode.ExitCode.Success;
    }
    isJson = cli.options.json === true;
    result = await runMatched(cli);
  } catch (error) {
    result = outcomeOfError(error as Error);
  }
  print(result, isJson, context);
  return result.exitCode;
}

const VERSION = '0.1.0';

type Action = (parsed: options.Options, folder: string) => Promise<outcome.Outcome>;

function buildCommands(context: CommandContext): cac.CAC {
  const cli = cac.cac('figline');
  addFileCommands(cli, context);
  addReadingCommands(cli, context);
  cli
    .command('credential', 'make a random team credential and its hash (no network)')
    .example('  $ figline credential --json')
    .action(withOptions(async () => credential.credential()));
  cli
    .command('trace <request-id> <...logs>', 'print the history of one request from logs')
    .example('  $ figline trace 9c41d07be2a35f68 front-1.log front-2.log')
    .action((requestId: string, logs: readonly string[]) => trace.trace(requestId, logs));
  cli.option('--json', 'print one JSON object instead of text');
  cli.version(VERSION);
  cli.help((sections) => [...sections, { title: 'Exit codes', body: exitCodeLines().join('\n') }]);
  return cli;
}

function addFileCommands(cli: cac.CAC, context: CommandContext): void {
  cli
    .command('check <folder>', 'check all configuration files under a folder (no network)')
    .example('  $ figline check services')
    .action(withFolder(async (_, folder) => files.check(folder)));
  operatorCommand(cli, 'diff <folder>', 'show what a publish of a folder would change')
    .example('  $ figline diff services --operator http://10.20.0.11:8081')
    .action(
      withFolder((parsed, folder) =>
        withClient(parsed, context, (client) => files.diff(folder, client)),
      ),
    );
  operatorCommand(cli, 'publish <folder>', 'make the files under a folder the active configuration')
    .option('--author <name>', 'recorded in the history (or FIGLINE_AUTHOR; default: login name)')
    .option('--wait-seconds <n>', 'longest wait for the live daemons (default 15)')
    .option('--allow-removals', 'remove active documents that are in no file')
    .option('--base-revision <n>', 'publish only if this revision is still active')
    .option('--publish-id <uuid>', 'repeat an earlier publish whose outcome is unknown')
    .example('  $ figline publish services --author desk --base-revision 41')
    .action(
      withFolder((parsed, folder) =>
        withClient(parsed, context, (client) => runPublish(parsed, folder, client, context)),
      ),
    );
}

function addReadingCommands(cli: cac.CAC, context: CommandContext): void {
  const readCommand = (
    reader: (client: operatorClient.OperatorClient) => Promise<outcome.Outcome>,
  ) => withOptions((parsed) => withClient(parsed, context, reader));
  operatorCommand(cli, 'status', 'show a daemon, the control group and all daemons')
    .example('  $ figline status --operator http://10.20.0.11:8081,http://10.20.0.12:8081')
    .action(readCommand(inspect.status));
  operatorCommand(cli, 'teams', 'list the active teams')
    .example('  $ figline teams --json')
    .action(readCommand(inspect.teams));
  operatorCommand(cli, 'services', 'list the active services')
    .example('  $ figline services')
    .action(readCommand(inspect.services));
  operatorCommand(cli, 'history', 'list accepted publishes, newest first')
    .option('--limit <n>', 'number of entries (default 20)')
    .example('  $ figline history --limit 5')
    .action(
      withOptions((parsed) =>
        withClient(parsed, context, (client) => inspect.history(client, parsed.limit)),
      ),
    );
}

function operatorCommand(cli: cac.CAC, name: string, description: string): cac.Command {
  return cli
    .command(name, description)
    .option('--operator <url,...>', 'operator listeners of daemons (or FIGLINE_OPERATOR_URL)')
    .option(
      '--operator-token-file <path>',
      'file whose first line is an operator token (or FIGLINE_OPERATOR_TOKEN_FILE)',
    );
}

function withFolder(action: Action): (folder: string, raw: unknown) => Promise<outcome.Outcome> {
  return (folder, raw) => parseOptions(raw, (parsed) => action(parsed, folder));
}

function withOptions(
  action: (parsed: options.Options) => Promise<outcome.Outcome>,
): (raw: unknown) => Promise<outcome.Outcome> {
  return (raw) => parseOptions(raw, action);
}

async function parseOptions(
  raw: unknown,
  action: (parsed: options.Options) => Promise<outcome.Outcome>,
): Promise<outcome.Outcome> {
  const parsed = options.optionsSchema.safeParse(raw);
  if (parsed.success) {
    return action(parsed.data);
  }
  return usage(
    parsed.error.issues.map((issue) => `${flagOf(String(issue.path[0]))}: ${issue.message}`),
  );
}

async function withClient(
  parsed: options.Options,
  context: CommandContext,
  action: (client: operatorClient.OperatorClient) => Promise<outcome.Outcome>,
): Promise<outcome.Outcome> {
  const client = options.openClient(parsed, context.environment);
  return client.ok ? action(client.val) : usage(client.val);
}

function runPublish(
  parsed: options.Options,
  folder: string,
  client: operatorClient.OperatorClient,
  context: CommandContext,
): Promise<outcome.Outcome> {
  const { allowRemovals, baseRevision, publishId } = parsed;
  const author = options.authorOf(parsed, context.environment);
  const waitMilliseconds = parsed.waitSeconds * 1_000;
  return publish.publish(
    { folder, author, waitMilliseconds, allowRemovals, baseRevision, publishId },
    {
      client,
      time: context.time,
      announce: (message) => context.writeError(`${message}\n`),
    },
  );
}

async function runMatched(cli: cac.CAC): Promise<outcome.Outcome> {
  const command = cli.matchedCommand;
  if (command === undefined) {
    const commandNames = cli.commands.map((entry) => entry.name);
    const [name] = cli.args;
    return usage([
      name === undefined
        ? `a command is missing; known: ${commandNames.join(', ')}`
        : `unknown command ${name}; ${suggestion.suggest(name, commandNames)}`,
    ]);
  }
  const faults = [...unknownFlags(cli, command), ...surplusArguments(cli, command)];
  if (faults.length > 0) {
    return usage(faults);
  }
  return (await cli.runMatchedCommand()) as outcome.Outcome;
}

function unknownFlags(cli: cac.CAC, command: cac.Command): string[] {
  const definedFlags = [...command.options, ...cli.globalCommand.options].flatMap(
    (entry) => entry.names,
  );
  return Object.keys(cli.options)
    .filter((name) => name !== '--' && !definedFlags.includes(name))
    .map((name) => {
      const flags = definedFlags.filter((entry) => entry.length > 1).map(flagOf);
      return `unknown flag ${flagOf(name)}; ${suggestion.suggest(flagOf(name), flags)}`;
    });
}

/** `cac` ignores surplus arguments, so a shell pattern for several folders would publish only the first. */
function surplusArguments(cli: cac.CAC, command: cac.Command): string[] {
  if (command.args.some((argument) => argument.variadic)) {
    return [];
  }
  return cli.args
    .slice(command.args.length)
    .map(
      (argument) => `unexpected argument ${argument}; ${command.name} takes ${command.args.length}`,
    );
}

function usage(messages: readonly string[]): outcome.Outcome {
  return outcome.failure(exitCode.ExitCode.Usage, [...messages, 'see figline --help']);
}

function flagOf(name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}

/** `cac` throws its own error class when an argument or value is missing. */
function outcomeOfError(error: Error): outcome.Outcome {
  return error.name === 'CACError'
    ? usage([error.message])
    : outcome.failure(exitCode.ExitCode.InternalError, [`internal error: ${error.message}`]);
}

function exitCodeLines(): string[] {
  return Object.entries(exitCode.EXIT_CODE_MEANINGS).map(
    ([code, meaning]) => `  ${code.padStart(2)}  ${meaning}`,
  );
}

function print(result: outcome.Outcome, isJson: boolean, context: CommandContext): void {
  if (isJson) {
    const { exitCode: code, errors, data } = result;
    context.writeOutput(`${JSON.stringify({ exitCode: code, ...data, errors })}\n`);
    return;
  }
  result.lines.forEach((line) => context.writeOutput(`${line}\n`));
  result.errors.forEach((line) => context.writeError(`figline: ${line}\n`));
}
