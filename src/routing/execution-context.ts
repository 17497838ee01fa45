import * as clock from '../clock';
import type * as configuration from '../configuration';
import * as metrics from '../metrics';
import type * as backendPool from './backend-pool';
import type * as decisionTask from './decision-task';
import type * as serverObserver from './server-observer';

/** Dependencies that all executions share. */
export interface ExecutionContext {
  readonly task: decisionTask.DecisionTask;
  readonly pool: backendPool.BackendPool;
  readonly observer: serverObserver.ServerObserver;
  /** The weights version to request during a roll-out; the configured version by default. */
  readonly servingWeights?: (service: configuration.ModelServiceDocument) => string;
  /** Whether the copy of the configuration tells that something is unknown; by default it always does. */
  readonly isCopyRecent?: () => boolean;
  readonly meter: metrics.Metrics;
  readonly time: clock.Clock;
}
