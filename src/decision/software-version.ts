import type * as state from './state';
import type * as steps from './step';

/**
 * The servers of a request's service that may run it. What servers of two software versions write does not fit
 * together, and servers do not check this: once a caller has an event of a stream, only the version that wrote it may go on.
 */
export function compatibleServers(
  step: steps.Step,
  { profile, softwareVersion }: state.RequestState,
): readonly state.ServerState[] {
  const pool = step.pool(profile.service);
  return softwareVersion === undefined
    ? pool
    : step.memoize(`software/${profile.service}/${softwareVersion}`, [pool], () =>
        pool.filter((server) => server.record.softwareVersion === softwareVersion),
      );
}
