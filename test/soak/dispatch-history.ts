import type * as platformProcess from '../../tools/local/platform-process';

/** A request at an engine, to which a dispatch of a gateway belongs. */
export interface RequestAtEngine {
  readonly id: string;
  readonly engine: string;
  readonly salt: string | undefined;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

interface LoggedDispatch {
  readonly engine: unknown;
  readonly salt: unknown;
  /** Monotonic time of this process in milliseconds. */
  readonly at: number;
}

/** When gateways dispatched requests, by the lines that they logged. */
export class DispatchHistory {
  private readonly dispatches = new Map<unknown, LoggedDispatch[]>();

  /**
   * @param lines of all gateways
   * @param timeOrigin time of day, in milliseconds since 1970, at which the monotonic time of this process was 0
   */
  constructor(lines: Iterable<platformProcess.LogLine>, timeOrigin: number) {
    for (const { message, time, requestId, backendServer, cacheSalt } of lines) {
      const at = Date.parse(String(time)) - timeOrigin;
      if (message === DISPATCHED && !Number.isNaN(at)) {
        const earlier = this.dispatches.get(requestId) ?? [];
        const dispatch = { engine: backendServer, salt: cacheSalt, at };
        this.dispatches.set(requestId, [...earlier, dispatch]);
      }
    }
  }

  /**
   * The monotonic time in milliseconds of the dispatch that led to a request at an engine; absent if no line of it is there. Of
   * several ones to that engine with that salt it is the last, which is the one that is judged most strictly.
   */
  timeOf({ id, engine, salt, at }: RequestAtEngine): number | undefined {
    const times = (this.dispatches.get(id) ?? [])
      .filter((dispatch) => dispatch.engine === engine && dispatch.salt === salt)
      .map((dispatch) => dispatch.at)
      .filter((dispatchedAt) => dispatchedAt <= at + CLOCK_MILLISECONDS);
    return times.length === 0 ? undefined : Math.max(...times);
  }
}

/** The message of a gateway's line about a dispatch. */
export const DISPATCHED = 'request dispatched';

/** Lines have whole milliseconds, and the time of day and the monotonic time drift apart a little. */
const CLOCK_MILLISECONDS = 5;
