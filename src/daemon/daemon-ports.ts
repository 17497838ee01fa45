import * as backend from '../backend';
import * as clock from '../clock';
import * as command from '../command';
import * as control from '../control';
import * as metrics from '../metrics';
import * as prefix from '../prefix';
import * as routing from '../routing';
import type * as callerLimits from './caller-limits';

/** Adapters that a daemon is built from; the daemon closes those that can be closed. */
export interface DaemonPorts<State> {
  readonly plane: control.ControlPlane;
  readonly machineList: backend.MachineList;
  readonly backends: routing.BackendFactory;
  readonly core: routing.DecisionCore<State>;
  readonly hasher: Pick<prefix.ChainHasher, 'chain'>;
  readonly history: command.RevisionHistory;
  readonly meter: metrics.Metrics;
  readonly time: clock.Clock;
  readonly random: clock.RandomSource;
}

/** An address to listen on; port 0 lets the operating system choose. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Values of one daemon that are not adapters. Times are in milliseconds. */
export interface DaemonOptions {
  readonly zone: string;
  readonly region: string;
  readonly peerAddress: string;
  readonly listen: ListenAddress;
  readonly operatorListen: ListenAddress;
  readonly operatorTokens: readonly string[];
  /** Time between two reads of the platform's list. */
  readonly machineListIntervalMilliseconds: number;
  /** More requests in the queues are refused. */
  readonly maximumQueuedRequests: number;
  readonly limits: callerLimits.CallerLimits;
  /** Time that a stopping daemon still takes requests, until the load balancer has noticed. */
  readonly loadBalancerMilliseconds: number;
  /** Longest time that a shutdown waits for running requests. */
  readonly graceMilliseconds: number;
}
