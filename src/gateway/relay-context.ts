import * as membership from '../membership';
import * as routing from '../routing';
import type * as headerCodec from './header-codec';
import type * as bufferBudget from './buffer-budget';
import type * as placementBuffer from './placement-buffer';
import type * as stallDetector from './stall-detector';

/** What the executions of relayed requests share. */
export interface RelayContext extends routing.ExecutionContext {
  readonly headerCodec: headerCodec.HeaderCodec;
  readonly stallDetector: stallDetector.StallDetector;
  readonly bufferBudget: bufferBudget.BufferBudget;
  readonly placings: placementBuffer.PlacementBuffer;
  /** A backend server as membership knows it now. */
  readonly server: (serverId: string) => membership.EligibleServer | undefined;
  /** How long ago the weights of a server of a service were superseded; absent when they are the newest. */
  readonly supersededMilliseconds: (service: string, weightsVersion: string) => number | undefined;
  /** `host:port` of the store of kept KV cache, if there is one. */
  readonly storeAddress: () => string | undefined;
}
