import * as clock from '../clock';
import * as command from '../command';
import * as control from '../control';
import * as membership from '../membership';
import * as routing from '../routing';
import type * as readiness from './readiness';

/** Parts of the daemon that the operator interface reads. */
export interface OperatorSources {
  readonly plane: control.ControlPlane;
  readonly history: command.RevisionHistory;
  readonly router: routing.Router;
  readonly servers: () => readonly membership.EligibleServer[];
  readonly readiness: readiness.Readiness;
  readonly time: clock.Clock;
  readonly region: string;
  /** Address of the peer listener, for the list of daemons. */
  readonly peerAddress: string;
  /** SHA-256 of each accepted bearer token. */
  readonly tokenHashes: readonly Buffer[];
  readonly startedAt: number;
}

/** Wraps the sources in a class, so that Nest can inject them. */
export class OperatorContext {
  constructor(readonly sources: OperatorSources) {}
}
