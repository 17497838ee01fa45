import type * as http from 'node:http';
import * as crypto from 'node:crypto';
import * as results from 'ts-results';
import * as clock from '../clock';
import * as configuration from '../configuration';
import * as decision from '../decision';
import * as placement from '../placement';
import * as routes from '../routes';
import * as verdict from '../verdict';
import type * as cacheNamespace from './cache-namespace';
import * as forwardExecution from './forward-execution';
import type * as forwardHeader from './forward-header';
import * as refusals from './gateway-refusals';
import type * as headerCodec from './header-codec';
import * as namespaceAssignment from './namespace-assignment';
import type * as relayCall from './relay-call';
import type * as relayContext from './relay-context';
import * as relayExecution from './relay-execution';
import type * as relayReply from './relay-reply';
import type * as routingSource from './routing-source';
import type * as streamOrigins from './stream-origins';

/** A request as it arrived, with its whole body. */
export interface IncomingCall {
  readonly method: string;
  /** Path and query string. */
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Uint8Array;
  /** Monotonic time in milliseconds at which the headers arrived; the caller's deadline counts from here. */
  readonly arrivedAt: number;
  /** Present if another gateway has forwarded the request. */
  readonly forwarded?: forwardHeader.ForwardMetadata;
}

interface Admitted {
  readonly route: routes.Route;
  readonly team?: routes.RoutedTeam;
}

type IdentifiedMetadata = headerCodec.CallerMetadata & { readonly requestId: string };

/** Finds the route and the team of a request and submits it to the decision task. */
export class Gateway {
  private index: routes.RouteIndex | undefined;

  private readonly namespaces: namespaceAssignment.NamespaceAssignment;

  private nextId = 0;

  /** Requests that wait for the software version of their stream. */
  private lookups = 0;

  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly random: clock.RandomSource,
    private readonly limits: GatewayLimits,
  ) {
    this.namespaces = new namespaceAssignment.NamespaceAssignment(
      random,
      () => context.copyAgeMilliseconds() >= limits.copyAgeLimitMilliseconds,
    );
  }

  /** Version of the active routing table, if there is one. */
  get tableVersion(): number | undefined {
    return this.index?.table.version;
  }

  /** Activates a routing table; a lower version is ignored. */
  useRouting({ table, snapshot, sharedSince }: routingSource.ActiveRouting): void {
    const { task } = this.context;
    if (this.index === undefined || table.version > this.index.table.version) {
      this.index = new routes.RouteIndex(table);
    }
    this.namespaces.use(this.index, sharedSince);
    const kind = decision.DecisionEventKind.ConfigurationChanged;
    task.feed({ kind, at: task.now(), snapshot });
  }

  get store(): routes.StoreTraits | undefined {
    return this.index?.store;
  }

  /** Under which the cached prompt parts of a request are kept at this moment, if its server is an engine. */
  cacheNamespace(service: string, owner: cacheNamespace.CacheOwner): string {
    return this.namespaces.namespaceOf(service, owner);
  }

  /** Finds route and team from the headers alone; `Err` says why the request must not be served. */
  admit(
    path: string,
    headers: http.IncomingHttpHeaders,
  ): results.Result<Admitted, verdict.RequestFailure> {
    if (this.index === undefined) {
      return new results.Err(refusals.NO_TABLE);
    }
    const route = this.index.route(headers.host ?? '', path);
    if (route === undefined) {
      return new results.Err(this.refusalFromCopy(refusals.UNKNOWN_ROUTE));
    }
    const { credential } = this.context.headerCodec.readCaller(headers);
    const team = this.index.team(credential);
    if (this.index.needsCredential && team === undefined && !route.isPublic) {
      return new results.Err(this.refusalFromCopy(refusals.UNAUTHORIZED));
    }
    return new results.Ok({ route, team });
  }

  /** Starts a request; the reply is always ended, whatever the outcome. */
  handle(incoming: IncomingCall, reply: relayReply.RelayReply): void {
    const admitted = this.admit(incoming.path, incoming.headers);
    const metadata = this.context.headerCodec.readCaller(incoming.headers);
    const { requestId } = metadata;
    const { route, team } = admitted.ok ? admitted.val : {};
    Object.assign(reply, {
      identity: {
        requestId,
        route: route?.name,
        team: team?.name,
        promptTokens: metadata.promptTokens,
        outputTokens: metadata.outputTokens,
        ...(admitted.ok ? {} : this.copyFields()),
      },
    });
    const refusal = this.refusalOfForwarded(incoming);
    if (refusal !== undefined) {
      reply.fail(refusal);
    } else if (admitted.err) {
      reply.fail(admitted.val);
    } else if (requestId === undefined) {
      reply.fail(refusals.NO_REQUEST_ID);
    } else {
      this.start(incoming, { ...metadata, requestId }, admitted.val, reply);
    }
  }

  private start(
    incoming: IncomingCall,
    metadata: IdentifiedMetadata,
    admitted: Admitted,
    reply: relayReply.RelayReply,
  ): void {
    const refusal = this.refusalOf(admitted.route, metadata);
    if (refusal !== undefined) {
      reply.fail(refusal);
      return;
    }
    const call = this.callOf(incoming, metadata, admitted);
    if (!call.isForwarded && this.context.forwarder.isActive) {
      this.forwardInTime(call, reply);
    } else if (call.stream !== undefined && isTakenUp(metadata)) {
      this.takeUp(call, call.stream, reply);
    } else {
      this.submit(call, reply);
    }
  }

  private refusalOf(
    route: routes.Route,
    metadata: IdentifiedMetadata,
  ): verdict.RequestFailure | undefined {
    if (isServiceUnknown(route, metadata)) {
      return refusals.UNKNOWN_SERVICE;
    }
    if (metadata.hasInvalidLastEventId === true && isResumable(route)) {
      return refusals.INVALID_LAST_EVENT;
    }
    return this.openRequests >= this.limits.maximumRequests
      ? refusals.TOO_MANY_REQUESTS
      : undefined;
  }

  /** Refuses what another gateway can do better: it has a newer routing document, or reaches the servers. */
  private refusalOfForwarded({ forwarded }: IncomingCall): verdict.RequestFailure | undefined {
    if (forwarded === undefined) {
      return undefined;
    }
    if ((this.tableVersion ?? Number.NEGATIVE_INFINITY) < forwarded.routingVersion) {
      return refusals.OLDER_TABLE;
    }
    return this.context.forwarder.isCutOff ? refusals.CUT_OFF : undefined;
  }

  /** Another gateway cannot answer the caller of this one after this one has stopped. */
  private forwardInTime(call: relayCall.RelayCall, reply: relayReply.RelayReply): void {
    const { task } = this.context;
    const state = task.current as decision.DecisionState;
    if (decision.endsInTime(state, call.profile, task.now())) {
      this.forward(call, reply);
    } else {
      reply.fail(decision.STOPS_BEFORE_END);
    }
  }

  private forward(call: relayCall.RelayCall, reply: relayReply.RelayReply): void {
    const start = { progress: { events: 0, lastEventId: call.lastEventId }, runs: 0 };
    new forwardExecution.ForwardExecution(call, this.context, reply, start).run();
  }

  private refusalFromCopy(failure: verdict.RequestFailure): verdict.RequestFailure {
    const isRecent = this.context.copyAgeMilliseconds() < this.limits.copyAgeLimitMilliseconds;
    return verdict.refusalFromCopy(failure, isRecent);
  }

  /** What a refusal was decided from, for the log. */
  private copyFields(): Pick<relayReply.ReplyIdentity, 'routingVersion' | 'copyAgeMilliseconds'> {
    const age = this.context.copyAgeMilliseconds();
    return {
      routingVersion: this.tableVersion,
      copyAgeMilliseconds: Number.isFinite(age) ? Math.round(age) : undefined,
    };
  }

  private get openRequests(): number {
    const { task, forwarder } = this.context;
    return task.activeRequests + this.lookups + forwarder.activeRequests;
  }

  private submit(call: relayCall.RelayCall, reply: relayReply.RelayReply): void {
    const execution = new relayExecution.RelayExecution(call, this.context, reply);
    reply.onCallerDisconnect(() => execution.cancel());
    this.context.task.submit(execution);
  }

  /** Submits the rest of a broken stream once it is known which software version may go on with it. */
  private async takeUp(
    call: relayCall.RelayCall,
    stream: streamOrigins.StreamIdentity,
    reply: relayReply.RelayReply,
  ): Promise<void> {
    this.lookups += 1;
    const origin = await this.context.streamOrigins.find(stream);
    this.lookups -= 1;
    if (reply.isClosed) {
      return;
    }
    if (origin.err) {
      reply.fail(origin.val);
    } else {
      const profile = { ...call.profile, softwareVersion: origin.val };
      this.submit({ ...call, profile }, reply);
    }
  }

  /**
   * A number from 0 to 1 by which a request gets to one of the services of its route. All tries of a resumable stream get the
   * same one, since another service cannot go on with it.
   */
  private shareOf(
    route: routes.Route,
    { requestId, resumes }: headerCodec.CallerMetadata,
    team: routes.RoutedTeam | undefined,
  ): number {
    return isResumable(route)
      ? placement.hashFraction(`${route.name}/${team?.name}/${resumes ?? requestId}`)
      : this.random.uniform();
  }

  private callOf(
    { method, path, headers, body, arrivedAt, forwarded }: IncomingCall,
    metadata: IdentifiedMetadata,
    { route, team }: Admitted,
  ): relayCall.RelayCall {
    const wait = Math.min(route.timeoutMilliseconds, metadata.waitMilliseconds ?? Infinity);
    const service = routes.chooseService(route.shares, this.shareOf(route, metadata, team));
    this.nextId += 1;
    const cacheOwner = this.namespaces.ownerOf(metadata, team);
    const namespace = this.cacheNamespace(service, cacheOwner);
    return {
      requestId: metadata.requestId,
      method,
      path,
      headers,
      body,
      team: team?.name,
      cacheOwner,
      cacheNamespace: namespace,
      isForEngine: this.namespaces.isForEngine(service, metadata),
      deadline: arrivedAt + wait,
      lastEventId: metadata.lastEventId,
      routingVersion: this.tableVersion ?? 0,
      isForwarded: forwarded !== undefined,
      stream: isResumable(route) ? streamOf(metadata, service, team) : undefined,
      profile: {
        // Callers may reuse an id; the decision core needs a unique one for each request.
        requestId: `${metadata.requestId}#${this.nextId}`,
        team: team?.name ?? '',
        service,
        class: configuration.RequestClass.Short,
        ...chainOf(metadata.parts, namespace),
        sharedParts: sharedPartsOf(metadata.parts),
        promptTokens: metadata.promptTokens,
        expectedOutputTokens: metadata.outputTokens,
        idempotent: isRepeatable(route),
        isStreamed: route.kind === routes.RouteKind.Stream,
        maximumAttempts: Math.max(1, route.maximumAttempts - (forwarded?.runs ?? 0)),
        earlierSends: forwarded?.sends,
        priority: routes.priorityOf(route, team),
        firstTokenDeadline: arrivedAt + wait,
        answerDeadline: arrivedAt + wait,
        fingerprint: fingerprintOf(team?.name, method, path, body),
      },
    };
  }
}

/** Limits of one gateway. */
export interface GatewayLimits {
  readonly maximumRequests: number;
  /**
   * Age from which the copy of the routing document tells neither that a route or a credential is unknown, nor that a team still
   * shares its cached prompt parts.
   */
  readonly copyAgeLimitMilliseconds: number;
}

function isRepeatable(route: routes.Route): boolean {
  return route.kind === routes.RouteKind.Idempotent || isResumable(route);
}

function isResumable(route: routes.Route): boolean {
  return route.kind === routes.RouteKind.Stream && route.isResumable;
}

/** Whether the caller has already received a part of the stream. */
function isTakenUp({ lastEventId, resumes }: headerCodec.CallerMetadata): boolean {
  return lastEventId !== undefined || resumes !== undefined;
}

/** Whether a caller takes up a stream that any of several services may have begun: the one is found by the attempt that began it. */
function isServiceUnknown(route: routes.Route, metadata: headerCodec.CallerMetadata): boolean {
  const services = route.shares.filter(({ weight }) => weight > 0);
  return (
    isResumable(route) &&
    isTakenUp(metadata) &&
    metadata.resumes === undefined &&
    services.length > 1
  );
}

function streamOf(
  metadata: headerCodec.CallerMetadata,
  service: string,
  team: routes.RoutedTeam | undefined,
): streamOrigins.StreamIdentity {
  const own = isTakenUp(metadata) ? undefined : metadata.requestId;
  return { service, team: team?.name ?? '', firstRequestId: metadata.resumes ?? own };
}

/** Includes the ids of all earlier parts in each id: the same part after another beginning is a different prefix. */
function chainOf(
  parts: readonly headerCodec.PromptPart[],
  namespace: string,
): Pick<decision.RequestProfile, 'prefixChain' | 'chainTokens'> {
  const chain: string[] = [];
  const chainTokens: number[] = [];
  parts.forEach(({ id, tokens }, depth) => {
    chain.push(`${chain[depth - 1] ?? namespace}/${id}`);
    chainTokens.push((chainTokens[depth - 1] ?? 0) + tokens);
  });
  return { prefixChain: chain, chainTokens };
}

/** The last part belongs to the request alone. Ids are as long as callers make them, so that long ones are hashed. */
function sharedPartsOf(parts: readonly headerCodec.PromptPart[]): readonly string[] {
  return parts
    .slice(0, -1)
    .slice(0, MAXIMUM_SHARED_PARTS)
    .map(({ id }) => (id.length <= MAXIMUM_PART_CHARACTERS ? id.toLowerCase() : hashOf(id)));
}

function hashOf(id: string): string {
  return crypto.createHash('sha1').update(id.toLowerCase()).digest('base64');
}

function fingerprintOf(
  team: string | undefined,
  method: string,
  path: string,
  body: Uint8Array,
): string {
  return crypto
    .createHash('sha1')
    .update(`${team ?? ''} ${method} ${path}\n`)
    .update(body)
    .digest('base64');
}

/** Prompts have two to four parts on all known platforms. */
const MAXIMUM_SHARED_PARTS = 16;

const MAXIMUM_PART_CHARACTERS = 32;
