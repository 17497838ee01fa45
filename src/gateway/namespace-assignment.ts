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
    { credential, parts, promptTokens }: headerCodec.CallerMetadata,
    team: routes.RoutedTeam | undefined,
  ): cacheNamespace.CacheOwner {
    const isUnknown =
      team === undefined && credential !== undefined && this.index?.needsCredential === true;
    return {
      team: team?.name,
      unknownCaller: isUnknown ? this.nextUnknownCaller() : undefined,
      hasPrompt: parts.length > 0 || promptTokens > 0,
    };
  }

  /**
   * The namespace at this moment; absent for requests without a prompt at services without a model. It changes with the routing
   * document, and a request that has waited must not use the one of its arrival. While the model is not known, as after a
   * document that has dropped it, nobody shares.
   */
  namespaceOf(service: string, owner: cacheNamespace.CacheOwner): string | undefined {
    const known = this.index?.service(service);
    const model = known?.engine?.model;
    if (model === undefined && known !== undefined && !owner.hasPrompt) {
      return undefined;
    }
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
