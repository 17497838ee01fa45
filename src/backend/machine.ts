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

/** Record of one backend server on the platform's list. */
export interface MachineRecord {
  readonly id: string;
  /** IP address. */
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly region: string;
  /** Name of the service document whose requests it serves. */
  readonly service: string;
  readonly kind: BackendKind;
  readonly phase: MachinePhase;
  /** Id of the server's process, if the list contains it. */
  readonly incarnation?: string;
  /** Set while the server loads other weights, if the list contains it. */
  readonly loading?: true;
  /** Weights version, if the list contains it. */
  readonly weightsVersion?: string;
  /** Version of the server's software, if the list contains it. */
  readonly softwareVersion?: string;
}

/** Port for the platform's list of VMs, which shows changes with a delay. */
export abstract class MachineList {
  /** Reads the whole list. After an `Err` the caller continues with the previous list. */
  abstract read(): Promise<results.Result<readonly MachineRecord[], verdict.RequestFailure>>;

  /** Calls `listener` when `read` would return another list; absent if the source does not notice changes. */
  onChange?(listener: () => void): () => void;
}
