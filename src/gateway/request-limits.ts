import * as logging from '../logging';

/** The request limits that backend servers name in their answers; a server without a limit names none. */
export class RequestLimits {
  private readonly limits = new Map<string, number>();

  /**
   * Records what an answer says about the limit of its server; returns whether that is new.
   *
   * @param perSecond requests a second that the server takes from all daemons together; absent if it names no limit
   */
  observe(serverId: string, perSecond: number | undefined): boolean {
    if (this.limits.get(serverId) === perSecond) {
      return false;
    }
    if (perSecond === undefined) {
      this.limits.delete(serverId);
    } else {
      this.limits.set(serverId, perSecond);
    }
    logger.information('request limit of a server changed', {
      backendServer: serverId,
      requestsPerSecond: perSecond ?? 'none',
    });
    return true;
  }
}

const logger = new logging.Logger('gateway');
