/** One HTTP request that an adapter passes to an exchange. */
export interface HttpRequest {
  /** Sent as `x-request-id`; the answer has to echo it. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Name of a management call in logs; absent for requests of callers. */
  readonly label?: string;
  /** Opens a connection for this request and closes it afterwards. */
  readonly freshConnection: boolean;
  readonly signal?: AbortSignal;
}

/** Status and headers of an answer; names are in lower case. */
export interface HttpHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}
