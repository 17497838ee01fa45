/** What the bytes that a process holds for its callers and servers belong to. */
export enum MemoryKind {
  /** Connections of callers, and the requests that run on them, without their bodies. */
  Connections = 'connections',
  /** What is read of requests that wait behind others on their connection. */
  Heads = 'heads',
  /** Bodies of requests that have not arrived completely. */
  UnfinishedBodies = 'unfinished_bodies',
  /** Bodies of requests that wait or run. */
  Requests = 'requests',
  /** Small answers, until their callers have read them. */
  Answers = 'answers',
  /** Incomplete events of streams, and comments before the first one. */
  Events = 'events',
}
