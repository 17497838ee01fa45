import type * as control from '../../control';

/** Kinds of requests to a process of control peers. */
export enum ControlPeerRequestKind {
  Listen = 'listen',
  Join = 'join',
  Propose = 'propose',
  Generate = 'generate',
  Sample = 'sample',
}

/** One control node without the rest of a daemon. */
export interface ControlPeerNode {
  readonly daemonId: string;
  readonly zone: string;
  /** Hosts a replica when set. */
  readonly dataFolder?: string;
}

export type ControlPeerRequest =
  | {
      readonly kind: ControlPeerRequestKind.Listen;
      readonly nodes: readonly ControlPeerNode[];
      readonly preSharedKey: string;
    }
  | {
      readonly kind: ControlPeerRequestKind.Join;
      readonly peers: readonly string[];
      readonly replicas: readonly string[];
    }
  | { readonly kind: ControlPeerRequestKind.Propose; readonly command: control.Command }
  | {
      readonly kind: ControlPeerRequestKind.Generate;
      readonly revisionsPerMinute: number;
      readonly claimsPerSecond: number;
    }
  | { readonly kind: ControlPeerRequestKind.Sample; readonly withHeap: boolean };

/** Usage of a process of control peers, and bytes on the links of its nodes. */
export interface ControlPeerSample {
  readonly cpuMilliseconds: number;
  readonly residentBytes: number;
  /** Heap after a full garbage collection; 0 when the request has no `withHeap`. */
  readonly heapBytes: number;
  /** Role of the first node. */
  readonly role: control.ReplicaRole;
  readonly revision: number;
  /** Sum over the nodes. */
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Part of these bytes on links to the daemon under test, with the directions of the daemon. */
  readonly daemonSentBytes: number;
  readonly daemonReceivedBytes: number;
  /** Commands that the generator proposed, and those of them without a result. */
  readonly proposals: number;
  readonly failedProposals: number;
}

/** Daemon id of the daemon under test. */
export const MEASURED_DAEMON = 'measured';
