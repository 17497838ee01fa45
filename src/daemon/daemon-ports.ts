import * as backend from '../backend';
import * as clock from '../clock';
import * as command from '../command';
import * as control from '../control';
import * as metrics from '../metrics';
import * as prefix from '../prefix';
import * as routing from '../routing';
import type * as callerLimits from './caller-limits';

/** Adapters that are injected into a daemon; the daemon closes those that can be closed. */
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
  /** Interval between two reads of the platform's VM list. */
  readonly machineListIntervalMilliseconds: number;
  /** Requests that may wait in the queues; further requests are rejected. */
  readonly maximumQueuedRequests: number;
  readonly limits: callerLimits.CallerLimits;
  /** Time for which a daemon that shuts down still accepts requests, until the load balancer avoids it. */
  readonly loadBalancerMilliseconds: number;
  /** Longest time for which a shutdown waits for running requests. */
  readonly graceMilliseconds: number;
}
