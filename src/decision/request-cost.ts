import * as configuration from '../configuration';
import type * as event from './event';

/** Estimated milliseconds for which a request occupies a slot, before the correction by `costRatio`. */
export function of(
  service: configuration.ServiceDocument | undefined,
  profile: event.RequestProfile,
): number {
  if (service?.type !== configuration.ServiceType.ModelEngine) {
    return PLAIN_CALL_MILLISECONDS;
  }
  const uncached = profile.promptTokens * UNCACHED_FRACTION;
  const prefill = uncached / service.prefillTokensPerSecond;
  const decode = profile.expectedOutputTokens / service.decodeTokensPerSecond;
  return (prefill + decode) * 1_000;
}

/** Placement finds most of a prompt cached; `costRatio` corrects the error of this estimate. */
const UNCACHED_FRACTION = 0.2;
const PLAIN_CALL_MILLISECONDS = 20;
