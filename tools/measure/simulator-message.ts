import type * as plan from './plan';

/** Requests to a process that simulates the environment of the measured daemons; they are answered in order. */
export enum RequestKind {
  /** The answer is the address of the list of VMs. */
  StartServers = 'start-servers',
  StartPeers = 'start-peers',
  SetBusy = 'set-busy',
  /** The answer is a `CallCounts`. */
  Call = 'call',
}

export interface StartServers {
  readonly kind: RequestKind.StartServers;
  readonly plan: plan.DeploymentPlan;
}

export interface StartPeers {
  readonly kind: RequestKind.StartPeers;
  readonly plan: plan.DeploymentPlan;
  readonly replicas: readonly string[];
  readonly preSharedKey: string;
}

export interface SetBusy {
  readonly kind: RequestKind.SetBusy;
  readonly isBusy: boolean;
}

export interface Call {
  readonly kind: RequestKind.Call;
  readonly address: string;
  readonly teams: number;
  readonly plan: plan.CallPlan;
}

export type SimulatorRequest = StartServers | StartPeers | SetBusy | Call;

/** Id of the backend server with an index; engines have the lowest indexes. */
export function serverIdOf(index: number): string {
  return `i-${index}`;
}

/** Availability zones of a measured deployment, and their regions. */
export const ZONES = [
  'pl-caudan',
  'pl-plaine-verte',
  'cp-forest',
  'cp-floreal',
  'mb-waterfront',
  'mb-ville-noire',
] as const;

export const REGIONS: Readonly<Record<string, string>> = {
  'pl-caudan': 'port-louis',
  'pl-plaine-verte': 'port-louis',
  'cp-forest': 'curepipe',
  'cp-floreal': 'curepipe',
  'mb-waterfront': 'mahebourg',
  'mb-ville-noire': 'mahebourg',
};
