/** What a request asks for. */
export enum LoadRequestKind {
  /** Streamed chat completion. */
  Chat = 'chat',
  /** Idempotent call of a plain service. */
  Plain = 'plain',
}

/** One request of the load, ready to be sent. */
export interface LoadRequest {
  readonly kind: LoadRequestKind;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Empty for a request without a body. */
  readonly body: string;
}
