import * as decision from '../decision';
import type * as membership from '../membership';
import * as routes from '../routes';
import * as cacheNamespaces from './cache-namespace';
import type * as headerCodec from './header-codec';
import type * as relayCall from './relay-call';
import type * as relayContext from './relay-context';

/** What a server is told of one attempt in case it is an engine. */
export type EngineMetadata = Pick<
  headerCodec.AttemptMetadata,
  'cacheSalt' | 'weightsVersion' | 'cacheSource' | 'priority'
>;

/** Under which cached prompt parts one request runs, and from where they are copied. */
export class CacheUse {
  constructor(
    private readonly call: relayCall.RelayCall,
    private readonly context: Pick<
      relayContext.RelayContext,
      'cacheNamespace' | 'placementBuffer' | 'server'
    >,
  ) {}

  /**
   * With other weights than the last observed ones the server must refuse. Requests of plain services have a salt too: the server
   * may be an engine by now, and an absent salt would be one that all teams share. A rank is spared there, since its absence
   * allows nothing.
   */
  metadata(effect: decision.Dispatch, server: membership.EligibleServer): EngineMetadata {
    const { isForEngine, profile } = this.call;
    const { weightsVersion } = server;
    return {
      cacheSalt: cacheNamespaces.cacheSalt(this.currentNamespace, server),
      weightsVersion,
      cacheSource: this.cacheSource(effect, server),
      priority:
        isForEngine || weightsVersion !== undefined ? routes.rankOf(profile.priority) : undefined,
    };
  }

  /** Announces the prefixes to other daemons, which can have them copied from this server instead of recomputed. */
  announce({ id: serverId, weightsVersion }: membership.EligibleServer): void {
    if (weightsVersion !== undefined && this.hasNamespaceOfArrival) {
      const hashes = decision.sharedPrefixHashes(weightsVersion, this.call.profile.prefixChain);
      this.context.placementBuffer.add({ serverId, hashes });
    }
  }

  private get currentNamespace(): string {
    return this.context.cacheNamespace(this.call.profile.service, this.call.cacheOwner);
  }

  /** Whether the prefixes by which servers are selected are those that servers keep now. */
  private get hasNamespaceOfArrival(): boolean {
    return this.call.cacheNamespace === this.currentNamespace;
  }

  /** `host:port` of the server to copy cached parts from; parts of unknown weights are not copied. */
  private cacheSource(
    { cacheSource }: decision.Dispatch,
    { weightsVersion }: membership.EligibleServer,
  ): string | undefined {
    const isUsable = weightsVersion !== undefined && this.hasNamespaceOfArrival;
    const source =
      cacheSource === undefined || !isUsable ? undefined : this.context.server(cacheSource);
    return source && `${source.host}:${source.port}`;
  }
}
