/** Lifecycle stages of a daemon, as the health endpoints report them. */
export enum DaemonStage {
  Starting = 'starting',
  Ready = 'ready',
  /** Shutting down; still accepts requests until the load balancer avoids the daemon. */
  Leaving = 'leaving',
  /** Rejects new requests; running ones finish. */
  Draining = 'draining',
}

/** Tracks the stage of the daemon and the number of requests whose answer is not complete. */
export class Readiness {
  private stage = DaemonStage.Starting;

  private openRequests = 0;

  get current(): DaemonStage {
    return this.stage;
  }

  get isReady(): boolean {
    return this.stage === DaemonStage.Ready;
  }

  /** Whether new requests are accepted. A daemon that is not ready may have no configuration. */
  get acceptsRequests(): boolean {
    return this.stage === DaemonStage.Ready || this.stage === DaemonStage.Leaving;
  }

  get activeRequests(): number {
    return this.openRequests;
  }

  /** Moves to a later stage; an earlier one is ignored, so that a stopping daemon never becomes ready. */
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
