import type * as http from 'node:http';
import type * as decision from '../decision';
import type * as cacheNamespaces from './cache-namespace';
import type * as streamOrigins from './stream-origins';

/** A request after admission to the gateway. */
export interface RelayCall {
  readonly profile: decision.RequestProfile;
  /** Id that the caller sent; the profile has one of the router. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Uint8Array;
  readonly team?: string;
  readonly cacheOwner: cacheNamespaces.CacheOwner;
  /** Under which cached prompt parts were kept when the request arrived; the prefixes of the profile belong to it. */
  readonly cacheNamespace: string;
  /** Whether the routing document or the headers of the request tell that it is one for an engine. */
  readonly isForEngine: boolean;
  /** Monotonic time in milliseconds at which the caller's deadline or the route's timeout ends. */
  readonly deadline: number;
  /** Last event that the caller received before it sent the request again. */
  readonly lastEventId?: number;
  /** Version of the routing document by which the route was chosen. */
  readonly routingVersion: number;
  /** Whether another gateway has sent the request, which must not be forwarded again. */
  readonly isForwarded: boolean;
  /** Present if the caller may take up the answer again at any gateway. */
  readonly stream?: streamOrigins.StreamIdentity;
}
