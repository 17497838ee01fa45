import * as backend from '../backend';
import * as clock from '../clock';
import * as verdict from '../verdict';
import type * as headerCodec from './header-codec';
import * as forwardHeader from './forward-header';
import * as messages from './peer-gateway-message';

/** Dependencies of the forwarder. */
export interface ForwarderPorts {
  readonly time: clock.Clock;
  readonly random: clock.RandomSource;
  readonly headerCodec: headerCodec.HeaderCodec;
  /** Available gateways, the nearest ones first. */
  readonly gateways: () => readonly messages.PeerGateway[];
  /** Whether this gateway cannot reach the backend servers. */
  readonly isCutOff: () => boolean;
  /** Place of this gateway. */
  readonly place: Pick<messages.PeerGateway, 'zone' | 'region'>;
}

interface Client {
  readonly gateway: messages.PeerGateway;
  readonly pool: backend.ConnectionPool;
  /** Requests of this gateway that are in progress there. */
  requests: number;
}

/** Use of one gateway for one request. */
export interface ForwardLease {
  readonly gateway: messages.PeerGateway;
  relay(request: backend.RelayRequest, receiver: backend.RelayReceiver): backend.RelayHandle;
  release(): void;
}

/** Chooses other gateways for the requests of a gateway that is cut off, and holds the connections to them. */
export class Forwarder {
  private readonly clients = new Map<string, Client>();

  private isClosed = false;

  constructor(private readonly ports: ForwarderPorts) {}

  /** Whether this gateway cannot reach the backend servers. */
  get isCutOff(): boolean {
    return this.ports.isCutOff();
  }

  /** Whether requests go to other gateways now. */
  get isActive(): boolean {
    return !this.isClosed && this.ports.isCutOff() && this.ports.gateways().length > 0;
  }

  /** Requests of this gateway that are in progress at others. */
  get activeRequests(): number {
    return [...this.clients.values()].reduce((sum, { requests }) => sum + requests, 0);
  }

  /**
   * The gateway with the lowest cost that is not excluded: near ones first, but each request in progress there counts, so
   * that the requests spread when all gateways of a zone are cut off.
   */
  lease(excludedIds: ReadonlySet<string>): ForwardLease | undefined {
    const candidates = this.ports
      .gateways()
      .filter(({ daemonId }) => !excludedIds.has(daemonId))
      .map((gateway) => ({ gateway, cost: this.costOf(gateway) }))
      .sort((left, right) => left.cost - right.cost);
    const [best] = candidates;
    return best === undefined || this.isClosed ? undefined : this.leaseOf(best.gateway);
  }

  /** Ends the requests that are in progress elsewhere with failures; no more are accepted. */
  close(): void {
    this.isClosed = true;
    this.clients.forEach(({ pool }) => pool.close());
    this.clients.clear();
  }

  private costOf(gateway: messages.PeerGateway): number {
    const requests = this.clients.get(gateway.address)?.requests ?? 0;
    const distance = messages.distanceBetween(this.ports.place, gateway);
    return requests + distance * REQUESTS_PER_DISTANCE + this.ports.random.uniform();
  }

  private leaseOf(gateway: messages.PeerGateway): ForwardLease {
    const client = this.clientOf(gateway);
    client.requests += 1;
    let isReleased = false;
    return {
      gateway,
      relay: (request, receiver) => this.relay(client, request, receiver),
      release: () => {
        client.requests -= isReleased ? 0 : 1;
        isReleased = true;
      },
    };
  }

  private relay(
    { gateway, pool }: Client,
    request: backend.RelayRequest,
    receiver: backend.RelayReceiver,
  ): backend.RelayHandle {
    const exchange = new backend.RelayExchange(
      request,
      gateway.daemonId,
      pool,
      this.ports.time,
      (head) => this.readAnswer(head),
      receiver,
      // The answers of gateways have a length or chunks; one that has neither is not whole.
      async () => false,
    );
    exchange.start();
    return exchange;
  }

  private readAnswer(head: backend.HttpHead): backend.AnswerMetadata {
    const { isGenuine } = this.ports.headerCodec.readAnswer(head);
    const requestId = head.headers[forwardHeader.ForwardHeader.Id];
    const isRefused = forwardHeader.isRefusal(head.status, head.headers);
    return {
      requestId,
      isGenuine,
      limits: {},
      refusal: isRefused ? verdict.FailureReason.BackendRefused : undefined,
      retryAfterMilliseconds: backend.retryAfterMilliseconds(head),
    };
  }

  private clientOf(gateway: messages.PeerGateway): Client {
    const known = this.clients.get(gateway.address);
    if (known !== undefined) {
      return known;
    }
    const [, host, port] = /^(.*):(\d+)$/.exec(gateway.address)!;
    const address = { serverId: gateway.daemonId, host, port: Number(port) };
    const pool = new backend.ConnectionPool(address, LIMITS, this.ports.time);
    const client = { gateway, pool, requests: 0 };
    this.clients.set(gateway.address, client);
    return client;
  }
}

/** Another availability zone weighs as much as this many requests in progress, another region as much as twice as many. */
const REQUESTS_PER_DISTANCE = 4;

/** A lost SYN is sent again after 1 s, by which time another gateway can answer the request sooner. */
const LIMITS: backend.BackendLimits = { ...backend.DEFAULT_LIMITS, connectMilliseconds: 500 };
