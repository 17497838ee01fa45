import * as backend from '../backend';
import * as clock from '../clock';
import * as control from '../control';
import * as decision from '../decision';
import * as lifecycle from '../lifecycle';
import * as metrics from '../metrics';
import * as prefix from '../prefix';
import * as settingsPackage from '../settings';
import * as callerLimits from './caller-limits';
import * as daemonModule from './daemon';
import type * as daemonPorts from './daemon-ports';
import * as httpBackendFactory from './http-backend-factory';
import * as publishedHistory from './published-history';

/**
 * Creates the adapters from the settings and starts a daemon with them. Rejects when a port is in use.
 *
 * @example
 * const daemon = await startDaemon(load(process.argv.slice(2), process.env).unwrap());
 */
export async function startDaemon(
  settings: settingsPackage.Settings,
): Promise<daemonModule.Daemon<decision.DecisionState>> {
  const time = new clock.SystemClock();
  const random = new clock.SystemRandomSource();
  const [plane, hasher] = await Promise.all([
    startControl(settings, time, random),
    prefix.createChainHasher(),
  ]);
  const ports: daemonPorts.DaemonPorts<decision.DecisionState> = {
    plane,
    machineList: machineList(settings.machineList, time),
    backends: new httpBackendFactory.HttpBackendFactory(time),
    core: {
      startState: startState(settings, random),
      update: decision.update,
      isWaiting: decision.isWaiting,
    },
    hasher,
    history: new publishedHistory.PublishedHistory(plane),
    meter: meterOf(settings),
    time,
    random,
  };
  return daemonModule.Daemon.start(ports, optionsOf(settings));
}

function startControl(
  settings: settingsPackage.Settings,
  time: clock.Clock,
  random: clock.RandomSource,
): Promise<control.ControlNode> {
  const { formatAddress } = settingsPackage;
  return control.ControlNode.start({
    daemonId: settings.daemonId,
    zone: settings.zone,
    listenHost: settings.peerListen.host,
    listenPort: settings.peerListen.port,
    peers: (settings.peers ?? []).map(formatAddress),
    replicas: settings.replicas.map(formatAddress),
    preSharedKey: settings.preSharedKeys[0],
    dataFolder: settings.dataFolder,
    clock: time,
    random,
    // The daemon closes its control plane itself, after everything that uses it.
    lifecycle: new lifecycle.LifecycleManager(time),
  });
}

function machineList(
  location: settingsPackage.Settings['machineList'],
  time: clock.Clock,
): backend.MachineList {
  if (location.source === settingsPackage.MachineListSource.File) {
    return new backend.FileMachineList(location.location);
  }
  const url = new URL(location.location);
  const port = url.port === '' ? HTTP_PORT : Number(url.port);
  // A URL encloses an IPv6 address in brackets, a socket address does not.
  const host = url.hostname.replace(/^\[|\]$/g, '');
  return new backend.HttpMachineList({ serverId: 'vm-list', host, port }, time);
}

function startState(
  settings: settingsPackage.Settings,
  random: clock.RandomSource,
): decision.DecisionState {
  const { zone, region } = settings;
  return decision.initialState({ seed: random.integer(1, MAXIMUM_SEED), zone, region });
}

function meterOf(settings: settingsPackage.Settings): metrics.Metrics {
  return settings.statsd === undefined
    ? new metrics.DisabledMetrics()
    : new metrics.StatsdMetrics(settings.statsd.host, settings.statsd.port, settings.zone);
}

function optionsOf(settings: settingsPackage.Settings): daemonPorts.DaemonOptions {
  return {
    zone: settings.zone,
    region: settings.region,
    peerAddress: settingsPackage.formatAddress(settings.peerListen),
    listen: settings.listen,
    operatorListen: settings.operatorListen,
    operatorTokens: settings.operatorTokens,
    machineListIntervalMilliseconds: settings.machineListIntervalMilliseconds,
    maximumQueuedRequests: settings.maximumQueuedRequests,
    limits: { ...callerLimits.DEFAULT_LIMITS, bodyBytes: settings.maximumBodyBytes },
    loadBalancerMilliseconds: LOAD_BALANCER_MILLISECONDS,
    graceMilliseconds: settings.shutdownGraceMilliseconds,
  };
}

const HTTP_PORT = 80;

const MAXIMUM_SEED = 2 ** 31;

// Load balancers commonly check every second and remove a target after two failed checks.
const LOAD_BALANCER_MILLISECONDS = 2_500;
