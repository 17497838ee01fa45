import * as fs from 'node:fs';
import * as results from 'ts-results';

/**
 * Reads secrets from a file, one per line. Empty lines and lines that begin with `#` are skipped. A file
 * that other users can read and a secret that is too short are rejected. No message contains a secret.
 *
 * @example
 * readSecrets('/etc/figline/peer.key'); // Ok(['5f0c…'])
 */
export function readSecrets(file: string): results.Result<readonly string[], string> {
  try {
    const { mode } = fs.statSync(file);
    // eslint-disable-next-line no-bitwise
    if ((mode & GROUP_AND_OTHERS_PERMISSIONS) !== 0) {
      const permissions = (mode % PERMISSION_RANGE).toString(8).padStart(3, '0');
      return results.Err(
        `${file} is open to other users (mode ${permissions}); run chmod 600 on it`,
      );
    }
    return check(file, fs.readFileSync(file, 'utf8'));
  } catch (error) {
    return results.Err(`${file} cannot be read: ${(error as Error).message}`);
  }
}

function check(file: string, text: string): results.Result<readonly string[], string> {
  const lines = text.split(/\r?\n/).map((line) => line.trim());
  const secrets = lines.filter((line) => line !== '' && !line.startsWith('#'));
  if (secrets.length === 0 || secrets.length > MAXIMUM_SECRETS) {
    return results.Err(
      `${file} contains ${secrets.length} secrets; write 1 to ${MAXIMUM_SECRETS}, one a line`,
    );
  }
  const shortIndex = secrets.findIndex((secret) => secret.length < MINIMUM_SECRET_CHARACTERS);
  if (shortIndex !== -1) {
    return results.Err(
      `secret ${shortIndex + 1} in ${file} has ${secrets[shortIndex].length} characters; ` +
        `use at least ${MINIMUM_SECRET_CHARACTERS}, for example from: openssl rand -hex 32`,
    );
  }
  const spacedIndex = secrets.findIndex((secret) => /\s/.test(secret));
  return spacedIndex === -1
    ? results.Ok(secrets)
    : results.Err(
        `secret ${spacedIndex + 1} in ${file} contains white space; write one secret a line`,
      );
}

const GROUP_AND_OTHERS_PERMISSIONS = 0o077;
const PERMISSION_RANGE = 0o1000;

// 32 hexadecimal digits are 128 random bits, which cannot be guessed.
const MINIMUM_SECRET_CHARACTERS = 32;

// A rotation needs two; a file with many lines is probably the wrong one.
const MAXIMUM_SECRETS = 8;
