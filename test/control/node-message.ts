import type * as control from '../../src/control';

export enum NodeMessageKind {
  Join = 'join',
  Propose = 'propose',
  Status = 'status',
}

/** A request of a test to a node process. */
export interface NodeRequest {
  readonly id: number;
  readonly kind: NodeMessageKind;
  readonly peers?: readonly string[];
  readonly replicas?: readonly string[];
  readonly command?: control.Command;
  readonly timeoutMilliseconds?: number;
}

/** The options with which a node process starts. */
export interface NodeSettings {
  readonly daemonId: string;
  readonly listenPort: number;
  readonly advertisedAddress?: string;
  readonly dataFolder?: string;
}
