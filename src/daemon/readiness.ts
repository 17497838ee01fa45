/** Stages of a daemon's life as the load balancer sees them. */
export enum DaemonStage {
  Starting = 'starting',
  Ready = 'ready',
  /** Told to stop; still takes requests until the load balancer has noticed. */
  Leaving = 'leaving',
  /** Takes no new requests; running ones are finished. */
  Draining = 'draining',
}

/** Holds the stage of the daemon and counts the requests that are not answered completely. */
export class Readiness {
  private stage = DaemonStage.Starting;

  private openRequests = 0;

  get current(): DaemonStage {
    return this.stage;
  }

  get isReady(): boolean {
    return this.stage === DaemonStage.Ready;
  }

  /** Whether new requests are taken. Before ready there may be no configuration to serve them with. */
  get acceptsRequests(): boolean {
    return this.stage === DaemonStage.Ready || this.stage === DaemonStage.Leaving;
  }

  get activeRequests(): number {
    return this.openRequests;
  }

  /** Moves forward; a daemon that is stopping never becomes ready again. */
  advance(stage: DaemonStage): void {
    if (ORDER.indexOf(stage) > ORDER.indexOf(this.stage)) {
      this.stage = stage;
    }
  }

  requestStarted(): void {
    this.openRequests += 1;
  }

  requestEnded(): void {
    this.openRequests -= 1;
  }
}

const ORDER = [DaemonStage.Starting, DaemonStage.Ready, DaemonStage.Leaving, DaemonStage.Draining];
