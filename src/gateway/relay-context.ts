import type * as cacheNamespace from './cache-namespace';
import * as membership from '../membership';
import * as routing from '../routing';
import type * as headerCodec from './header-codec';
import type * as bufferBudget from './buffer-budget';
import type * as requestLimitExchange from './request-limit-exchange';
import type * as forwarder from './forwarder';
import type * as streamOrigins from './stream-origins';
import type * as placementBuffer from './placement-buffer';
import type * as stallDetector from './stall-detector';

/** Objects that all executions of relayed requests share. */
export interface RelayContext extends routing.ExecutionContext {
  readonly headerCodec: headerCodec.HeaderCodec;
  readonly stallDetector: stallDetector.StallDetector;
  readonly bufferBudget: bufferBudget.BufferBudget;
  readonly requestLimits: requestLimitExchange.RequestLimitExchange;
  readonly streamOrigins: streamOrigins.StreamOrigins;
  readonly forwarder: forwarder.Forwarder;
  readonly placementBuffer: placementBuffer.PlacementBuffer;
  /** The current record of a backend server in the membership task. */
  readonly server: (serverId: string) => membership.EligibleServer | undefined;
  /** Time since a newer weights version of a service was set; absent if the given version is the newest. */
  readonly supersededMilliseconds: (service: string, weightsVersion: string) => number | undefined;
  /** Upper bound of the age of this daemon's copy of the routing document; infinite if it is unknown. */
  readonly copyAgeMilliseconds: () => number;
  /** `host:port` of the KV cache store, if there is one. */
  readonly storeAddress: () => string | undefined;
  /** Under which the cached prompt parts of a request are kept at this moment, if its server is an engine. */
  readonly cacheNamespace: (service: string, owner: cacheNamespace.CacheOwner) => string;
}
