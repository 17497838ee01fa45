import type * as results from 'ts-results';
import * as logging from '../logging';
import * as address from './address';
import * as definition from './definition';
import * as parsers from './parsers';
import * as secretFile from './secret-file';

const { Identity, Listeners, ControlState, Secrets, Platform, Observation, Limits } =
  definition.SettingGroup;

/**
 * Every setting of `figlined`. The `Settings` type, the help text and the checks are derived from it; the
 * table in docs/OPERATIONS.md must match it.
 */
export const SETTING_TABLE = {
  daemonId: required({
    flag: 'daemon-id',
    group: Identity,
    placeholder: 'NAME',
    description: 'name of this daemon, unique among all daemons; kept across restarts',
    parse: parsers.parseName,
  }),
  zone: required({
    flag: 'zone',
    group: Identity,
    placeholder: 'NAME',
    description: 'availability zone of this VM, as the VM list names it',
    parse: parsers.parseName,
  }),
  region: required({
    flag: 'region',
    group: Identity,
    placeholder: 'NAME',
    description: 'region of this VM, as the VM list names it',
    parse: parsers.parseName,
  }),
  listen: required({
    flag: 'listen',
    group: Listeners,
    placeholder: 'IP:PORT',
    description: 'address for HTTP requests of callers',
    parse: address.parseAddress,
  }),
  operatorListen: required({
    flag: 'operator-listen',
    group: Listeners,
    placeholder: 'IP:PORT',
    description: 'address for HTTP requests of operators and health checks',
    parse: address.parseAddress,
  }),
  peerListen: required({
    flag: 'peer-listen',
    group: Listeners,
    placeholder: 'IP:PORT',
    description: 'address at which the other daemons reach this one; not a wildcard address',
    parse: parsers.parsePeerListen,
  }),
  peers: optional({
    flag: 'peers',
    group: ControlState,
    placeholder: 'IP:PORT,...',
    description: 'peer addresses of all daemons; the own address may be among them',
    parse: parsers.parseAddressList,
  }),
  replicas: required({
    flag: 'replicas',
    group: ControlState,
    placeholder: 'IP:PORT,...',
    description: 'peer addresses of the first control replicas, normally one in each zone',
    parse: parsers.parseAddressList,
  }),
  dataFolder: optional({
    flag: 'data-folder',
    group: ControlState,
    placeholder: 'PATH',
    description: 'folder of the control replica; a daemon without one hosts no replica',
    parse: parsers.parseFolder,
  }),
  preSharedKeys: required({
    flag: 'pre-shared-key-file',
    group: Secrets,
    placeholder: 'PATH',
    description: 'key of the links between daemons; the first line is used',
    parse: secretFile.readSecrets,
  }),
  operatorTokens: required({
    flag: 'operator-token-file',
    group: Secrets,
    placeholder: 'PATH',
    description: 'bearer tokens of operators, one a line, all accepted',
    parse: secretFile.readSecrets,
  }),
  machineList: required({
    flag: 'vm-list',
    group: Platform,
    placeholder: 'file:PATH|http:URL',
    description: "the platform's VM list: file:/absolute/path or http://IP:PORT/machines",
    parse: parsers.parseMachineList,
  }),
  machineListIntervalMilliseconds: withDefault({
    flag: 'vm-list-interval-ms',
    group: Platform,
    placeholder: 'N',
    description: 'time between two reads of the VM list, in milliseconds',
    fallback: '1000',
    parse: parsers.integerBetween(100, 60_000),
  }),
  statsd: optional({
    flag: 'statsd',
    group: Observation,
    placeholder: 'IP:PORT',
    description: 'UDP address of a StatsD collector; measurements are discarded without one',
    parse: address.parseAddress,
  }),
  logLevel: withDefault({
    flag: 'log-level',
    group: Observation,
    placeholder: 'LEVEL',
    description: 'lowest level that is logged: error, warning, information or debug',
    fallback: logging.LogLevel.Information,
    parse: parsers.oneOf(Object.values(logging.LogLevel)),
  }),
  shutdownGraceMilliseconds: withDefault({
    flag: 'shutdown-grace-ms',
    group: Limits,
    placeholder: 'N',
    description: 'longest time that a shutdown waits for running requests, in milliseconds',
    // Equals the default timeout of a route, so that most running requests finish before a shutdown ends.
    fallback: '30000',
    parse: parsers.integerBetween(0, 3_600_000),
  }),
  loadBalancerDelayMilliseconds: withDefault({
    flag: 'load-balancer-delay-ms',
    group: Limits,
    placeholder: 'N',
    description:
      'time that a stopping daemon still takes requests until the load balancer avoids it',
    // Two health checks a second apart, and one in flight.
    fallback: '3000',
    parse: parsers.integerBetween(0, 60_000),
  }),
  maximumBodyBytes: withDefault({
    flag: 'max-body-bytes',
    group: Limits,
    placeholder: 'N',
    description: 'largest request body of a caller, in bytes',
    // A history of 200,000 tokens is about 1 MB of text; images in messages make requests larger.
    fallback: '16777216',
    parse: parsers.integerBetween(1_024, 268_435_456),
  }),
  maximumQueuedRequests: withDefault({
    flag: 'max-queued-requests',
    group: Limits,
    placeholder: 'N',
    description: 'requests that may wait in the queues of this daemon; more are refused',
    fallback: '4096',
    parse: parsers.integerBetween(1, 1_000_000),
  }),
};

export type SettingName = keyof typeof SETTING_TABLE;

/** All settings of a daemon, validated. */
export type Settings = {
  readonly [Name in SettingName]: (typeof SETTING_TABLE)[Name] extends definition.SettingDefinition<
    infer Value
  >
    ? Value
    : never;
};

/** The definitions in the order of the help text. */
export const DEFINITIONS: readonly definition.SettingDefinition<unknown>[] =
  Object.values(SETTING_TABLE);

type Declaration<Value> = Omit<definition.SettingDefinition<Value>, 'absence' | 'fallback'>;

function required<Value>(declared: Declaration<Value>): definition.SettingDefinition<Value> {
  return { ...declared, absence: definition.Absence.Fault };
}

function optional<Value>(
  declared: Declaration<Value>,
): definition.SettingDefinition<Value | undefined> {
  return {
    ...declared,
    absence: definition.Absence.Undefined,
    parse: declared.parse as (text: string) => results.Result<Value | undefined, string>,
  };
}

function withDefault<Value>(
  declared: Declaration<Value> & { readonly fallback: string },
): definition.SettingDefinition<Value> {
  return { ...declared, absence: definition.Absence.Fallback };
}
