import * as logging from '../logging';
import type * as routes from '../routes';
import type * as weightsAge from './weights-age';

/**
 * Logs when a daemon learns of a weights version and when the oldest one that gets work changes. With the age
 * that `request dispatched` tells, these lines show of a request on old weights whether its daemon did not know
 * of the newer version, knew it and went on, or sent the request in time.
 */
export class WeightsLog {
  private readonly told = new Map<string, routes.ModelWeights>();

  /** Writes what has changed since the last call for a model; at most two lines for each naming. */
  logChanges(model: string, weights: routes.ModelWeights, ages: weightsAge.WeightsAge): void {
    const before = this.told.get(model);
    this.told.set(model, weights);
    const { named, minimum } = weights;
    if (named !== undefined && named !== before?.named) {
      const ageMilliseconds = ages.agesOf(model, named)?.ageWhenLearnedMilliseconds;
      logger.information('weights version learned', {
        model,
        weightsVersion: named,
        ageMilliseconds,
      });
    }
    if (minimum !== undefined && minimum !== before?.minimum) {
      logger.information('oldest weights that get work changed', {
        model,
        weightsVersion: minimum,
        before: before?.minimum,
        ...ages.agesOf(model, minimum),
      });
    }
  }
}

const logger = new logging.Logger('gateway');
