import * as results from 'ts-results';
import * as configuration from '../configuration';
import * as routing from '../routing';
import * as verdict from '../verdict';

/**
 * Authenticates a request by its bearer credential and returns the team that owns the credential. A caller
 * cannot select its team by another header. `Err` is the failure for a missing or unknown credential.
 *
 * @param authorization value of the `Authorization` header
 */
export function authenticate(
  authorization: string | undefined,
  catalog: routing.Catalog,
): results.Result<configuration.TeamDocument, verdict.RequestFailure> {
  const credential = BEARER.exec(authorization ?? '')?.[1];
  const team =
    credential === undefined ? undefined : catalog.team(configuration.hashCredential(credential));
  return team === undefined ? new results.Err(catalog.refusal(UNAUTHORIZED)) : new results.Ok(team);
}

const BEARER = /^Bearer +([\x21-\x7e]+)$/i;

const UNAUTHORIZED = verdict.failure(
  verdict.FailureReason.Unauthorized,
  verdict.Verdict.NotRun,
  'The bearer credential is missing or unknown.',
);
