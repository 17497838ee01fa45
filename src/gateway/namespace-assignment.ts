import * as clock from '../clock';
import * as routes from '../routes';
import * as cacheNamespace from './cache-namespace';
import type * as headerCodec from './header-codec';

/** Decides under which namespace the cached prompt parts of each request are kept, by the active routing document. */
export class NamespaceAssignment {
  private index: routes.RouteIndex | undefined;

  /** Version of the routing document since which teams share cached prompt parts, if they ever had to start anew. */
  private sharedSince: number | undefined;

  private unknownCallers = 0;

  /** @param mayTeamsBeIsolated whether teams may have become isolated in documents that have not reached this gateway */
  constructor(
    private readonly random: clock.RandomSource,
    private readonly mayTeamsBeIsolated: () => boolean,
  ) {}

  use(index: routes.RouteIndex, sharedSince: number | undefined): void {
    this.index = index;
    this.sharedSince = sharedSince;
  }

  ownerOf(
    { credential }: headerCodec.CallerMetadata,
    team: routes.RoutedTeam | undefined,
  ): cacheNamespace.CacheOwner {
    const isUnknown =
      team === undefined && credential !== undefined && this.index?.needsCredential === true;
    return {
      team: team?.name,
      unknownCaller: isUnknown ? this.nextUnknownCaller() : undefined,
    };
  }

  /**
   * Whether a request is one for an engine as far as the document and the headers tell: no proof, since its server may be an
   * engine of a newer document, and its prompt may be in the body alone.
   *
   * @example
   * assignment.isForEngine('ledger', metadata); // false for a plain service and a request without a prompt in its headers
   */
  isForEngine(
    service: string,
    { parts, promptTokens }: Pick<headerCodec.CallerMetadata, 'parts' | 'promptTokens'>,
  ): boolean {
    const known = this.index?.service(service);
    return (
      known === undefined || known.engine !== undefined || parts.length > 0 || promptTokens > 0
    );
  }

  /**
   * The namespace at this moment, for plain services too: their servers may be engines of a newer document. It changes with the
   * routing document, and a request that has waited must not use the one of its arrival. While the model is not known, teams
   * do not share.
   */
  namespaceOf(service: string, owner: cacheNamespace.CacheOwner): string {
    const model = this.index?.service(service)?.engine?.model;
    return model === undefined || this.isSeparate(owner)
      ? cacheNamespace.isolatedNamespace(model ?? '', owner)
      : cacheNamespace.sharedNamespace(model, this.sharedSince);
  }

  /** A team that has left the document is kept apart, since it may come back isolated. */
  private isSeparate({ team, unknownCaller }: cacheNamespace.CacheOwner): boolean {
    return (
      unknownCaller !== undefined ||
      this.mayTeamsBeIsolated() ||
      (team !== undefined && this.index?.teamNamed(team)?.isIsolated !== false)
    );
  }

  /** A text that no other request has, here or at another gateway. */
  private nextUnknownCaller(): string {
    this.unknownCallers += 1;
    return `${this.random.uniform()}/${this.unknownCallers}`;
  }
}
