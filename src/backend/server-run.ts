import type * as machine from './machine';

/**
 * The run of a server's process, as the client of that server needs it: an answer that says that the server leaves concerns the
 * run which was known when the call was sent, since the server may have started again meanwhile.
 */
export interface ServerRun {
  /** The run that is known now; absent if none is. */
  readonly incarnation: () => string | undefined;
  /** Called for each answer which says that the server leaves, with the run that was known when the call was sent. */
  readonly answeredAsLeaving: (incarnation: string | undefined) => void;
}

/** An answer which says that its server leaves. */
export interface LeavingAnswer {
  /** The record of the server when the call was sent. */
  readonly machine: Pick<machine.MachineRecord, 'id' | 'host' | 'port'>;
  /** Run that was known when the call was sent; absent if none was. */
  readonly incarnation?: string;
}

/** For a client whose daemon does not use what answers say of the server's run. */
export const IGNORED_RUN: ServerRun = { incarnation: () => undefined, answeredAsLeaving: () => {} };
