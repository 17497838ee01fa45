/** How a request may be repeated, and how its answer arrives. */
export enum RouteKind {
  /** A whole answer; the request may run more than once. */
  Idempotent = 'idempotent',
  /** A whole answer; the request may run once. */
  NonIdempotent = 'non-idempotent',
  /** A stream of events with growing ids. */
  Stream = 'stream',
}

/** The part of a route's requests that goes to one service. */
export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

/** Where the requests of one host and path prefix go. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time for which a caller is kept waiting. */
  readonly timeoutMilliseconds: number;
  /** Time to the answer, or to the first event of a stream, that callers expect. */
  readonly targetLatencyMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly ServiceShare[];
  /** Backend servers that may run one request of a caller. */
  readonly maximumAttempts: number;
  /** Whether requests need no credential. */
  readonly isPublic: boolean;
  /** Whether a broken stream may go on at another backend server. */
  readonly isResumable: boolean;
}

/** A service whose backend servers run a model. */
export interface EngineTraits {
  /** Name of the model whose weights can be changed by order. */
  readonly model: string;
  /** Requests that one backend server runs at the same time. */
  readonly slots: number;
  /** Tokens that running requests and cached parts of one backend server share. */
  readonly cacheTokens: number;
  /** Bytes of KV cache of one token. */
  readonly cacheTokenBytes: number;
  /** Capacity of the link over which KV cache moves. */
  readonly linkMegabitsPerSecond: number;
}

/** A service that keeps KV cache for the engines; it runs no requests. */
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
  /** Connections that one backend server takes from all daemons together. */
  readonly maximumConnections: number;
  readonly engine?: EngineTraits;
  readonly store?: StoreTraits;
}

/** A team and its credentials. */
export interface RoutedTeam {
  readonly name: string;
  readonly credentials: readonly string[];
  /** Goes before the priority of a route. */
  readonly priority?: number;
  /** Whether its cached prompt parts are kept apart from those of all other teams. */
  readonly isIsolated: boolean;
}

/** What a caller may send, and how long it may take or stay idle. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** Everything that decides where requests go; the highest version is in force. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Absent when requests need no credential at all. */
  readonly teams?: readonly RoutedTeam[];
  readonly limits?: CallerLimits;
}
