import * as path from 'node:path';
import * as results from 'ts-results';
import * as address from './address';

/** Kind of source from which the platform's VM list is read. */
export enum MachineListSource {
  File = 'file',
  Http = 'http',
}

/** Location of the platform's VM list. */
export interface MachineListLocation {
  readonly source: MachineListSource;
  /** Absolute path of a file, or a URL. */
  readonly location: string;
}

/** Parses a name such as `pl-caudan`, which appears in logs, metrics and peer messages. */
export function parseName(text: string): results.Result<string, string> {
  return NAME_PATTERN.test(text)
    ? results.Ok(text)
    : results.Err('use 1 to 63 lower-case letters, digits and hyphens, starting with a letter');
}

/** Parses addresses separated by commas; duplicates are rejected. */
export function parseAddressList(
  text: string,
): results.Result<readonly address.SocketAddress[], string> {
  const parts = text.split(',').map((part) => part.trim());
  const parsed: address.SocketAddress[] = [];
  for (const part of parts) {
    const outcome = address.parseAddress(part);
    if (outcome.err) {
      return results.Err(`"${part}": ${outcome.val}`);
    }
    if (outcome.val.port === 0) {
      return results.Err(`"${part}": port 0 cannot be connected to`);
    }
    parsed.push(outcome.val);
  }
  const texts = parsed.map(address.formatAddress);
  const repeated = texts.find((entry, index) => texts.indexOf(entry) !== index);
  return repeated === undefined
    ? results.Ok(parsed)
    : results.Err(`${repeated} is given more than once`);
}

/** Parses the address of the peer listener, to which peers have to be able to connect. */
export function parsePeerListen(text: string): results.Result<address.SocketAddress, string> {
  const outcome = address.parseAddress(text);
  if (outcome.ok && WILDCARD_HOSTS.includes(outcome.val.host)) {
    return results.Err('use the IP address at which peers reach this VM, not a wildcard address');
  }
  return outcome;
}

/** Parses an absolute path, so that the working directory of the process has no influence. */
export function parseFolder(text: string): results.Result<string, string> {
  return path.isAbsolute(text)
    ? results.Ok(path.normalize(text))
    : results.Err('use an absolute path');
}

/** Parses `file:/path` or `http://IP:PORT/machines`. */
export function parseMachineList(text: string): results.Result<MachineListLocation, string> {
  if (text.startsWith(FILE_PREFIX)) {
    return parseFolder(text.slice(FILE_PREFIX.length)).map((location) => ({
      source: MachineListSource.File,
      location,
    }));
  }
  const [, socketAddress] = MACHINE_LIST_URL_PATTERN.exec(text) ?? [];
  return socketAddress !== undefined && address.parseAddress(socketAddress).ok
    ? results.Ok({ source: MachineListSource.Http, location: text })
    : results.Err('use file:/absolute/path or http://IP:PORT/machines');
}

/** Creates a parser of whole numbers between two limits, both included. */
export function integerBetween(
  low: number,
  high: number,
): (text: string) => results.Result<number, string> {
  return (text) => {
    const value = Number(text);
    return /^\d+$/.test(text) && value >= low && value <= high
      ? results.Ok(value)
      : results.Err(`use a whole number from ${low} to ${high}`);
  };
}

/** Creates a parser of the values of an enum. */
export function oneOf<Value extends string>(
  values: readonly Value[],
): (text: string) => results.Result<Value, string> {
  return (text) => {
    const found = values.find((value) => value === text);
    return found === undefined ? results.Err(`use one of ${values.join(', ')}`) : results.Ok(found);
  };
}

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;
const WILDCARD_HOSTS = ['0.0.0.0', '::'];
const FILE_PREFIX = 'file:';
const MACHINE_LIST_URL_PATTERN = /^http:\/\/([^/]+)\/machines$/;
