/** Kind of a request of the load. */
export enum LoadRequestKind {
  /** Streamed chat completion. */
  Chat = 'chat',
  /** Idempotent call of a plain service. */
  Plain = 'plain',
}

/** One complete request of the load. */
export interface LoadRequest {
  readonly kind: LoadRequestKind;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Empty for a request without a body. */
  readonly body: string;
}
