import * as crypto from 'node:crypto';
import * as results from 'ts-results';
import * as clock from '../clock';
import type * as command from './command';
import * as controlPlane from './control-plane';
import * as peerMessage from './peer-message';
import type * as replicaTask from './replica-task';

interface ForwardedProposal {
  readonly leaderAddress: string;
  readonly resolve: (result: replicaTask.ProposalResult) => void;
}

/** Sends proposals to the daemon of the leader and matches its answers to them. */
export class ProposalForwarder {
  private readonly pending = new Map<string, ForwardedProposal>();

  constructor(
    private readonly time: clock.Clock,
    private readonly send: (address: string, message: peerMessage.PeerMessage) => boolean,
  ) {}

  forward(
    leaderAddress: string,
    proposal: command.Command,
    timeoutMilliseconds: number,
  ): Promise<replicaTask.ProposalResult> {
    const requestId = crypto.randomUUID();
    const message: peerMessage.PeerMessage = {
      kind: peerMessage.PeerMessageKind.Propose,
      requestId,
      // The schema's type has mutable arrays; the content is the same.
      command: proposal as never,
      timeoutMilliseconds,
    };
    if (!this.send(leaderAddress, message)) {
      return Promise.resolve(results.Err(controlPlane.ProposalFailure.NoLeader));
    }
    return new Promise((resolve) => {
      const timer = this.time.setTimer(timeoutMilliseconds, () =>
        this.settle(requestId, results.Err(controlPlane.ProposalFailure.Timeout)),
      );
      const settle = (result: replicaTask.ProposalResult) => {
        timer.cancel();
        resolve(result);
      };
      this.pending.set(requestId, { leaderAddress, resolve: settle });
    });
  }

  settle(requestId: string, result: replicaTask.ProposalResult): void {
    const forward = this.pending.get(requestId);
    this.pending.delete(requestId);
    forward?.resolve(result);
  }

  /** Fails the proposals that wait for any daemon except the current leader's. */
  leaderChanged(leaderAddress: string | undefined): void {
    [...this.pending]
      .filter(([, forward]) => forward.leaderAddress !== leaderAddress)
      .forEach(([requestId]) =>
        this.settle(requestId, results.Err(controlPlane.ProposalFailure.Timeout)),
      );
  }

  /** Fails the proposals that wait for a daemon whose link was lost: their answers are lost with it. */
  peerLost(address: string): void {
    [...this.pending]
      .filter(([, forward]) => forward.leaderAddress === address)
      .forEach(([requestId]) =>
        this.settle(requestId, results.Err(controlPlane.ProposalFailure.Timeout)),
      );
  }
}
