/** Whether a request may be repeated, and how its answer is sent. */
export enum RouteKind {
  /** One complete answer; the request may run more than once. */
  Idempotent = 'idempotent',
  /** One complete answer; the request must run at most once. */
  NonIdempotent = 'non-idempotent',
  /** A stream of events with increasing ids. */
  Stream = 'stream',
}

/** A service and its weight among the services of a route. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Rule for the requests of one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time for which a caller waits for a complete answer. */
  readonly timeoutMilliseconds: number;
  /** Latency that callers expect: time to the answer or to the first event of a stream. */
  readonly targetLatencyMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Largest number of backend servers to which one request may be sent. */
  readonly maximumAttempts: number;
  /** Whether requests need no credential. */
  readonly isPublic: boolean;
  /** Whether a broken stream may be resumed at another backend server. */
  readonly isResumable: boolean;
}

/** A service whose backend servers run a model. */
export interface EngineTraits {
  /** Name of the model whose weights orders can change. */
  readonly model: string;
  /** Requests that one backend server runs concurrently. */
  readonly slots: number;
  /** Size of the KV cache of one backend server, which running requests and cached prompt parts share. */
  readonly cacheTokens: number;
  /** Size of one token in the KV cache. */
  readonly cacheTokenBytes: number;
  /** Bandwidth of the link over which KV cache is transferred. */
  readonly linkMegabitsPerSecond: number;
}

/** A service that stores KV cache for the engines; it runs no requests. */
export interface StoreTraits {
  /** `host:port` */
  readonly address: string;
  readonly zone: string;
  readonly cacheTokens: number;
}

/** A service and how its backend servers are called. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one backend server accepts from all daemons together. */
  readonly maximumConnections: number;
  readonly engine?: EngineTraits;
  readonly store?: StoreTraits;
}

/** A team and its credentials. */
export interface RoutedTeam {
  readonly name: string;
  readonly credentials: readonly string[];
  /** Overrides the priority of a route; 0 is the most urgent. */
  readonly priority?: number;
  /** Whether its cached prompt parts are separate from those of all other teams. */
  readonly isIsolated: boolean;
}

/** Limits on the size and the duration of a caller's request, and on the idle time of its connection. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** All rules for the routing of requests; the table with the highest version is active. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Absent when requests need no credential at all. */
  readonly teams?: readonly RoutedTeam[];
  readonly limits?: CallerLimits;
}
