import type * as results from 'ts-results';
import * as verdict from '../verdict';

/** What runs on a backend server. */
export enum BackendKind {
  ModelEngine = 'model-engine',
  PlainService = 'plain-service',
  CacheStore = 'kept-cache',
}

/** State of a VM on the platform's list. */
export enum MachinePhase {
  Live = 'live',
  Leaving = 'leaving',
}

/** One backend server as the platform's list has it. */
export interface MachineRecord {
  readonly id: string;
  /** IP address. */
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly region: string;
  /** Name of the service document whose requests it takes. */
  readonly service: string;
  readonly kind: BackendKind;
  readonly phase: MachinePhase;
  /** Process of the server, if the list tells it. */
  readonly incarnation?: string;
  /** Set while the server is being brought to other weights, if the list tells it. */
  readonly loading?: true;
  /** Weights version, if the list tells it. */
  readonly weightsVersion?: string;
}

/** Port for the platform's list of VMs, which lags behind. */
export abstract class MachineList {
  /** Reads the whole list. `Err` leaves the caller with what it knew before. */
  abstract read(): Promise<results.Result<readonly MachineRecord[], verdict.RequestFailure>>;
}
