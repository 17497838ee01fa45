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

  /** Returns the most recently used idle connection, or a new one when none is idle or `fresh` is set. */
  acquire(fresh: boolean): connection.Connection {
    const reused = fresh ? undefined : this.popReusable();
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

  private popReusable(): connection.Connection | undefined {
    for (let next = this.idle.pop(); next !== undefined; next = this.idle.pop()) {
      if (next.isReusable) {
        return next;
      }
      next.destroy();
    }
    return undefined;
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
