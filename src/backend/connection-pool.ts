import * as clock from '../clock';
import type * as backendAddress from './backend-address';
import type * as backendLimits from './backend-limits';
import * as connection from './connection';

/** The connections to one backend server. A connection in use belongs to one exchange only. */
export class ConnectionPool {
  private readonly idle: connection.Connection[] = [];

  private readonly all = new Set<connection.Connection>();

  private closed = false;

  constructor(
    private readonly address: backendAddress.BackendAddress,
    private readonly limits: backendLimits.BackendLimits,
    private readonly time: clock.Clock,
  ) {}

  /**
   * Returns the most recently used idle connection, or a new one when none is idle or `fresh` is set. A connection on
   * which the same request was refused is not used for it again: the earlier refusal could be taken for its answer.
   */
  acquire(fresh: boolean, requestId: string): connection.Connection {
    const reused = fresh ? undefined : this.takeReusable(requestId);
    return reused ?? this.open();
  }

  /** Returns a connection to the pool after a complete answer; destroys it if it cannot be reused. */
  release(released: connection.Connection): void {
    released.endAnswer();
    const full = this.idle.length >= this.limits.maximumIdleConnections;
    if (full || !released.isReusable || !this.all.has(released)) {
      released.destroy();
      return;
    }
    this.idle.push(released);
  }

  /** Destroys every connection; requests in progress fail, and later requests are not sent. */
  close(): void {
    this.closed = true;
    [...this.all].forEach((open) => open.destroy());
  }

  private takeReusable(requestId: string): connection.Connection | undefined {
    this.idle.filter((idle) => !idle.isReusable).forEach((idle) => idle.destroy());
    const position = this.idle.findLastIndex((idle) => !idle.hasRefused(requestId));
    return position < 0 ? undefined : this.idle.splice(position, 1)[0];
  }

  private open(): connection.Connection {
    const opened = new connection.Connection(this.address, this.limits, this.time, (closed) =>
      this.forget(closed),
    );
    this.all.add(opened);
    if (this.closed) {
      opened.destroy();
    }
    return opened;
  }

  private forget(closed: connection.Connection): void {
    this.all.delete(closed);
    const position = this.idle.indexOf(closed);
    if (position >= 0) {
      this.idle.splice(position, 1);
    }
  }
}
