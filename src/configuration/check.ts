import * as suggestion from '../suggestion';
import * as document from './document';
import * as lookup from './lookup';

/** A conflict between documents, or inside one, that its schema cannot express. */
export interface DocumentProblem {
  /** Position of the document in the list that was checked. */
  readonly index: number;
  /** Field inside the document, for example `['services', 0]`. */
  readonly path: readonly (string | number)[];
  readonly message: string;
  /** Position of another document that the message refers to. */
  readonly relatedIndex?: number;
}

/** A service whose document is invalid; references to it are not reported as a second problem. */
export interface InvalidService {
  readonly name: string;
}

/**
 * Checks a full set of documents: unique names, existing services, one team for each credential, one
 * service for each method and path. The command checks files with it, the daemon checks a publish.
 *
 * @example
 * checkDocuments([team]).map((problem) => problem.message);
 * // ['unknown service inspection-desk; none is defined']
 */
export function checkDocuments(
  documents: readonly document.ConfigurationDocument[],
  invalidServices: readonly InvalidService[] = [],
): readonly DocumentProblem[] {
  const services = new Map(
    documents.filter(isService).map((service) => [service.name, service.type]),
  );
  const context = { services, invalid: new Set(invalidServices.map((service) => service.name)) };
  return [
    ...duplicates(documents.map(uniqueName)),
    ...documents.flatMap((entry, index) => checkOne(entry, index, context)),
    ...duplicates(documents.flatMap(uniqueCredentials)),
    ...duplicates(documents.flatMap(uniqueRoutes)),
  ];
}

/** A value that only one document may contain, with the message for a second one that contains it. */
interface UniqueValue {
  readonly index: number;
  readonly path: readonly (string | number)[];
  readonly value: string;
  readonly message: string;
}

interface Context {
  readonly services: ReadonlyMap<string, document.ServiceType>;
  readonly invalid: ReadonlySet<string>;
}

/** SHA-256 of the empty string, which results when a variable with the credential is empty. */
const EMPTY_CREDENTIAL_HASH = 'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855';

/** First path segments of the endpoints that the caller listener serves itself. */
const RESERVED_SEGMENTS = ['v1', 'healthz', 'readyz'];

function isService(entry: document.ConfigurationDocument): entry is document.ServiceDocument {
  return entry.kind === document.DocumentKind.Service;
}

function duplicates(values: readonly UniqueValue[]): DocumentProblem[] {
  const firstIndexes = new Map<string, number>();
  return values.flatMap(({ index, path, value, message }) => {
    const relatedIndex = firstIndexes.get(value);
    if (relatedIndex === undefined) {
      firstIndexes.set(value, index);
      return [];
    }
    return [{ index, path, message, relatedIndex }];
  });
}

function uniqueName(entry: document.ConfigurationDocument, index: number): UniqueValue {
  const message = `duplicate name: there is another ${entry.kind} ${entry.name}`;
  return { index, path: ['name'], value: document.documentKey(entry), message };
}

function uniqueCredentials(entry: document.ConfigurationDocument, index: number): UniqueValue[] {
  if (entry.kind !== document.DocumentKind.Team) {
    return [];
  }
  return entry.credentialHashes.map((value, position) => ({
    index,
    path: ['credentialHashes', position],
    value,
    message: 'this credential hash is listed more than once; give each team its own credential',
  }));
}

function uniqueRoutes(entry: document.ConfigurationDocument, index: number): UniqueValue[] {
  if (!isService(entry) || entry.type !== document.ServiceType.Plain) {
    return [];
  }
  return entry.routes.flatMap((route, position) =>
    route.methods.map((method, methodPosition) => ({
      index,
      path: ['routes', position, 'methods', methodPosition],
      value: `${method} ${lookup.withoutTrailingSlash(route.path)}`,
      message: `overlapping routes: ${method} ${route.path} already belongs to a route`,
    })),
  );
}

function checkOne(
  entry: document.ConfigurationDocument,
  index: number,
  context: Context,
): DocumentProblem[] {
  if (entry.kind === document.DocumentKind.Team) {
    return [...checkTeamServices(entry, index, context), ...checkHashes(entry, index)];
  }
  if (entry.kind === document.DocumentKind.Intent) {
    return checkIntent(entry, index, context);
  }
  return entry.type === document.ServiceType.Plain ? checkPaths(entry, index) : [];
}

function checkTeamServices(
  team: document.TeamDocument,
  index: number,
  context: Context,
): DocumentProblem[] {
  return team.services.flatMap((service, position) => {
    const path = ['services', position];
    if (team.services.indexOf(service) !== position) {
      return [{ index, path, message: `service ${service} is listed twice; list it once` }];
    }
    return isDefined(service, context)
      ? []
      : [{ index, path, message: unknownService(service, [...context.services.keys()]) }];
  });
}

function checkHashes(team: document.TeamDocument, index: number): DocumentProblem[] {
  const position = team.credentialHashes.indexOf(EMPTY_CREDENTIAL_HASH);
  if (position === -1) {
    return [];
  }
  const message = 'this is the hash of an empty credential; make one with figline credential';
  return [{ index, path: ['credentialHashes', position], message }];
}

function checkIntent(
  intent: document.IntentDocument,
  index: number,
  context: Context,
): DocumentProblem[] {
  const path = ['service'];
  const engines = [...context.services.entries()]
    .filter(([, type]) => type === document.ServiceType.ModelEngine)
    .map(([name]) => name);
  if (!isDefined(intent.service, context)) {
    return [{ index, path, message: unknownService(intent.service, engines) }];
  }
  if (context.services.get(intent.service) !== document.ServiceType.Plain) {
    return [];
  }
  const hint = suggestion.suggest(intent.service, engines);
  const message =
    `${intent.service} is a plain service and takes no intents; ` +
    `use a model-engine service (${hint})`;
  return [{ index, path, message }];
}

function checkPaths(service: document.PlainServiceDocument, index: number): DocumentProblem[] {
  return service.routes.flatMap((route, position) => {
    const message = pathProblem(route.path);
    return message === undefined ? [] : [{ index, path: ['routes', position, 'path'], message }];
  });
}

function pathProblem(path: string): string | undefined {
  if (!lookup.isUnambiguousPath(path)) {
    return `path ${path} has an empty or dot segment; write the plain path`;
  }
  const [, first] = path.split('/');
  return RESERVED_SEGMENTS.includes(first)
    ? `path ${path} begins with /${first}, which figline answers itself; use another path`
    : undefined;
}

function isDefined(service: string, context: Context): boolean {
  return context.services.has(service) || context.invalid.has(service);
}

function unknownService(service: string, defined: readonly string[]): string {
  return `unknown service ${service}; ${suggestion.suggest(service, defined)}`;
}
