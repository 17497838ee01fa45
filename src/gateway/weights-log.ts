import * as logging from '../logging';
import type * as routes from '../routes';
import type * as weightsAge from './weights-age';

/**
 * Logs when a daemon learns of a weights version and when the oldest version that gets requests changes. Together with
 * the age in `request dispatched`, these lines show for a request on old weights whether its daemon did not know the
 * newer version, knew it and still used the old one, or sent the request in time.
 */
export class WeightsLog {
  private readonly logged = new Map<string, routes.ModelWeights>();

  /** Logs the changes since the last call for a model; at most two lines for each desired version. */
  logChanges(model: string, weights: routes.ModelWeights, ages: weightsAge.WeightsAge): void {
    const before = this.logged.get(model);
    this.logged.set(model, weights);
    const { desired, minimum } = weights;
    if (desired !== undefined && desired !== before?.desired) {
      const ageMilliseconds = ages.agesOf(model, desired)?.ageWhenLearnedMilliseconds;
      logger.information('weights version learned', {
        model,
        weightsVersion: desired,
        ageMilliseconds,
      });
    }
    if (minimum !== undefined && minimum !== before?.minimum) {
      logger.information('oldest weights version that gets requests changed', {
        model,
        weightsVersion: minimum,
        before: before?.minimum,
        ...ages.agesOf(model, minimum),
      });
    }
  }
}

const logger = new logging.Logger('gateway');
