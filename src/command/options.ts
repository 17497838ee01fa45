/** Flags and variables of the `figline` command. */
import * as os from 'node:os';
import * as results from 'ts-results';
import * as zod from 'zod';
import * as settings from '../settings';
import * as operatorClient from './operator-client';

/** Text of a flag; `cac` converts text that looks like a number into a number. */
const textSchema = zod
  .union([zod.string(), zod.number()], 'give it once, with one value')
  .transform(String);

const integerSchema = zod.int('use a whole number').min(0, 'use 0 or more');

/** The flags of all commands; a flag that a command does not define is never set. */
export const optionsSchema = zod.object({
  json: zod.boolean('give it once').default(false),
  operator: textSchema.optional(),
  operatorTokenFile: textSchema.optional(),
  author: textSchema.pipe(zod.string().max(256, 'use at most 256 characters')).optional(),
  waitSeconds: zod.number('use a number').min(0).max(3_600).default(15),
  allowRemovals: zod.boolean('give it once').default(false),
  publishId: zod.uuid('use the publish id that the earlier run printed').optional(),
  baseRevision: integerSchema.optional(),
  limit: integerSchema.min(1, 'use 1 to 1000').max(1_000, 'use 1 to 1000').default(20),
});

export type Options = zod.infer<typeof optionsSchema>;

type Environment = Readonly<Record<string, string | undefined>>;

/**
 * Creates a client for the daemons that flags or variables specify. `Err` lists what is missing or invalid.
 *
 * @example
 * openClient({ operator: 'http://10.20.0.11:8081' }, process.env);
 */
export function openClient(
  options: Pick<Options, 'operator' | 'operatorTokenFile'>,
  environment: Environment,
): results.Result<operatorClient.OperatorClient, readonly string[]> {
  const tokenVariable = settings.variableOf(settings.SETTING_TABLE.operatorTokens.flag);
  const urls = readUrls(options.operator ?? environment[settings.CommandVariable.OperatorUrl]);
  const tokens = readToken(options.operatorTokenFile ?? environment[tokenVariable], tokenVariable);
  const faults = [urls, tokens].flatMap((outcome) => (outcome.err ? [outcome.val] : []));
  if (urls.err || tokens.err) {
    return results.Err(faults);
  }
  return results.Ok(new operatorClient.OperatorClient(urls.val, tokens.val));
}

/** The author that is recorded with a publish: the flag, the variable, or the login name. */
export function authorOf(options: Pick<Options, 'author'>, environment: Environment): string {
  const configured = options.author ?? environment[settings.CommandVariable.Author];
  return configured === undefined || configured === '' ? loginName() : configured;
}

/** A build job may run as a user that is not in the user database. */
function loginName(): string {
  try {
    return os.userInfo().username;
  } catch {
    return `user ${process.getuid?.() ?? 'unknown'}`;
  }
}

function readUrls(text: string | undefined): results.Result<readonly string[], string> {
  if (text === undefined || text === '') {
    return results.Err(
      `give --operator URL or set ${settings.CommandVariable.OperatorUrl}, for example http://10.20.0.11:8081`,
    );
  }
  const urls = text.split(',').map((part) => part.trim());
  const invalid = urls.find(
    (url) => !URL.canParse(url) || !['http:', 'https:'].includes(new URL(url).protocol),
  );
  return invalid === undefined
    ? results.Ok(urls)
    : results.Err(`--operator: "${invalid}" is no URL such as http://10.20.0.11:8081`);
}

function readToken(file: string | undefined, variable: string): results.Result<string, string> {
  if (file === undefined || file === '') {
    return results.Err(`give --operator-token-file PATH or set ${variable}`);
  }
  return settings
    .readSecrets(file)
    .map(([first]) => first)
    .mapErr((message) => `--operator-token-file: ${message}`);
}
