/** The command `credential`. */
import * as crypto from 'node:crypto';
import * as configuration from '../configuration';
import * as outcome from './outcome';

/** Generates a random team credential and prints it once, with the hash for the team's document. */
export function credential(): outcome.Outcome {
  const secret = `${CREDENTIAL_PREFIX}${crypto.randomBytes(CREDENTIAL_BYTES).toString('base64url')}`;
  const hash = configuration.hashCredential(secret);
  return outcome.success([`credential: ${secret}`, `hash:       ${hash}`], {
    credential: secret,
    hash,
  });
}

/** Prefix by which scanners for leaked secrets recognize a credential. */
const CREDENTIAL_PREFIX = 'figline_';

// 256 random bits cannot be guessed, so that a plain SHA-256 without salt protects them.
const CREDENTIAL_BYTES = 32;
