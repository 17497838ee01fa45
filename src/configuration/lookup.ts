import * as crypto from 'node:crypto';
import * as document from './document';
import * as snapshot from './snapshot';

/** A route of a plain service and that service. */
export interface RouteMatch {
  readonly service: document.PlainServiceDocument;
  readonly route: document.RouteDocument;
}

/** Indexes of one snapshot, built once, so that a request needs only a few map lookups. */
export class ConfigurationLookup {
  private readonly teams = new Map<string, document.TeamDocument>();

  private readonly intents = new Map<string, document.IntentDocument>();

  private readonly services = new Map<string, document.ServiceDocument>();

  private readonly routes = new Map<string, Map<string, RouteMatch>>();

  /** Segments of the longest route path; longer request paths need not be searched deeper. */
  private maximumRouteSegments = 0;

  constructor(active: snapshot.ConfigurationSnapshot) {
    [...active.documents.values()].forEach((entry) => this.add(entry));
  }

  /**
   * The team that owns a credential.
   *
   * @example
   * lookupOf(snapshot).teamByCredentialHash(hashCredential(bearerToken));
   */
  teamByCredentialHash(hash: string): document.TeamDocument | undefined {
    return this.teams.get(hash);
  }

  /** The intent that callers select by `model`. */
  intentByModel(model: string): document.IntentDocument | undefined {
    return this.intents.get(model);
  }

  /** A service by the name of its document. */
  serviceByName(name: string): document.ServiceDocument | undefined {
    return this.services.get(name);
  }

  /**
   * The route with the longest path that covers whole leading segments of a request path. A query is
   * ignored. A path that a server could normalize to another path has no route: the request
   * `/ledger//charges` must not be handled by the rules of `/ledger` and run as `/ledger/charges`.
   *
   * @example
   * lookupOf(snapshot).routeFor('POST', '/ledger/charges/17?dry=1')?.route.path; // '/ledger/charges'
   */
  routeFor(method: string, requestPath: string): RouteMatch | undefined {
    const byPath = this.routes.get(method);
    if (byPath === undefined) {
      return undefined;
    }
    const [path] = requestPath.split('?', 1);
    return isUnambiguousPath(path) ? this.longestMatch(byPath, path) : undefined;
  }

  private longestMatch(
    byPath: ReadonlyMap<string, RouteMatch>,
    path: string,
  ): RouteMatch | undefined {
    const ends = segmentEnds(withoutTrailingSlash(path), this.maximumRouteSegments);
    for (let position = ends.length - 1; position >= 0; position -= 1) {
      const match = byPath.get(path.slice(0, ends[position]));
      if (match !== undefined) {
        return match;
      }
    }
    return byPath.get('/');
  }

  private add(entry: document.ConfigurationDocument): void {
    switch (entry.kind) {
      case document.DocumentKind.Team:
        entry.credentialHashes.forEach((hash) => this.teams.set(hash, entry));
        break;
      case document.DocumentKind.Intent:
        this.intents.set(entry.name, entry);
        break;
      default:
        this.addService(entry);
    }
  }

  private addService(service: document.ServiceDocument): void {
    this.services.set(service.name, service);
    if (service.type === document.ServiceType.Plain) {
      service.routes.forEach((route) =>
        route.methods.forEach((method) => this.addRoute(method, { service, route })),
      );
    }
  }

  private addRoute(method: string, match: RouteMatch): void {
    const path = withoutTrailingSlash(match.route.path);
    const byPath = this.routes.get(method) ?? new Map<string, RouteMatch>();
    byPath.set(path, match);
    this.routes.set(method, byPath);
    this.maximumRouteSegments = Math.max(this.maximumRouteSegments, path.split('/').length - 1);
  }
}

/**
 * The indexes of a snapshot, built on first use and cached as long as the snapshot exists.
 *
 * @example
 * lookupOf(plane.configuration()).intentByModel('sack-assessment');
 */
export function lookupOf(active: snapshot.ConfigurationSnapshot): ConfigurationLookup {
  const cached = lookups.get(active);
  if (cached !== undefined) {
    return cached;
  }
  const created = new ConfigurationLookup(active);
  lookups.set(active, created);
  return created;
}

/**
 * The hash under which a team document lists a credential: SHA-256 in lower-case hexadecimal.
 *
 * @example
 * hashCredential('abc').slice(0, 8); // 'ba7816bf'
 */
export function hashCredential(credential: string): string {
  return crypto.createHash('sha256').update(credential, 'utf8').digest('hex');
}

/**
 * Whether every server interprets a path alike: no empty segment, dot segment, path parameter, backslash, or
 * percent-encoded character that RFC 3986 (section 2.3) lets a server decode or that encodes a separator.
 *
 * @example
 * isUnambiguousPath('/ledger/%63harges'); // false: many servers run it as /ledger/charges
 */
export function isUnambiguousPath(path: string): boolean {
  return path.startsWith('/') && !AMBIGUOUS_PATTERN.test(path);
}

/** Removes a final slash, because a path with and without it is the same route. */
export function withoutTrailingSlash(path: string): string {
  return path.length > 1 && path.endsWith('/') ? path.slice(0, -1) : path;
}

const lookups = new WeakMap<snapshot.ConfigurationSnapshot, ConfigurationLookup>();

// In order: empty segment, dot segment, separators that some servers accept, encoded characters
// `- . / digits ; letters \ _ ~` and NUL.
const AMBIGUOUS_PATTERN =
  /\/\/|\/\.\.?(?:\/|$)|[;\\]|%(?:00|2[d-f]|3[0-9b]|4[1-9a-f]|5[0-9acf]|6[1-9a-f]|7[0-9ae])/i;

/** Offsets at which the first `limit` segments of a path end, in ascending order. */
function segmentEnds(path: string, limit: number): number[] {
  const ends: number[] = [];
  let from = 1;
  while (ends.length < limit) {
    const end = path.indexOf('/', from);
    if (end === -1) {
      ends.push(path.length);
      break;
    }
    ends.push(end);
    from = end + 1;
  }
  return ends;
}
