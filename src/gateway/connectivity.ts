import * as clock from '../clock';
import * as control from '../control';
import * as daemon from '../daemon';
import * as logging from '../logging';
import * as routing from '../routing';
import * as connectivityObserver from './connectivity-observer';
import * as cutDetector from './cut-detector';
import * as forwardedRequestHandler from './forwarded-request-handler';
import * as forwarderModule from './forwarder';
import type * as gatewayModule from './gateway';
import * as nestModule from './gateway-module';
import type * as headerCodec from './header-codec';
import * as peerGatewayDirectory from './peer-gateway-directory';
import type * as peerGatewayMessage from './peer-gateway-message';

/** Dependencies of the connectivity of a gateway. */
export interface ConnectivityPorts {
  readonly plane: control.ControlPlane;
  readonly headerCodec: headerCodec.HeaderCodec;
  readonly pool: routing.BackendPool;
  readonly membership: routing.MembershipTask;
  /** Its requests are told that this gateway is cut off. */
  readonly task: Pick<routing.DecisionTask, 'connectivityLost'>;
  readonly readiness: daemon.Readiness;
  readonly time: clock.Clock;
  readonly random: clock.RandomSource;
  readonly place: Pick<peerGatewayMessage.PeerGateway, 'zone' | 'region'>;
}

/**
 * The links of a gateway to the backend servers as a whole: notices when none of them can be reached, and knows the gateways that
 * run requests in that time, as this one does for them.
 */
export class Connectivity {
  /** Passes on what executions observe of servers. */
  readonly observer: routing.ServerObserver;

  readonly forwarder: forwarderModule.Forwarder;

  private readonly detector: cutDetector.CutDetector;

  private readonly directory: peerGatewayDirectory.PeerGatewayDirectory;

  private listener: daemon.HttpListener | undefined;

  private listeningAddress: string | undefined;

  private handOverTimer: clock.Timer | undefined;

  constructor(private readonly ports: ConnectivityPorts) {
    const { plane, time, random, membership, place } = ports;
    this.detector = new cutDetector.CutDetector({
      time,
      random,
      servers: () => membership.servers(),
      probe: (serverId) => this.probe(serverId),
      onChange: () => this.changed(),
    });
    this.observer = new connectivityObserver.ConnectivityObserver(membership, this.detector);
    const report = () => this.ownReport();
    this.directory = new peerGatewayDirectory.PeerGatewayDirectory({ plane, time, report });
    this.forwarder = new forwarderModule.Forwarder({
      time,
      random,
      headerCodec: ports.headerCodec,
      gateways: () => this.directory.near,
      isCutOff: () => this.isCutOff,
      place,
    });
  }

  get isCutOff(): boolean {
    return this.detector.isCutOff;
  }

  /** `host:port` at which other gateways reach this one; absent while it does not listen for them. */
  get address(): string | undefined {
    return this.listeningAddress;
  }

  /** Accepts requests of other gateways. Without this listener the gateway serves its own callers as before. */
  async listen(
    gateway: gatewayModule.Gateway,
    address: { readonly host: string; readonly port: number },
    limits: daemon.ListenerLimits,
    intake: Omit<daemon.IntakeOptions, 'onHead'>,
  ): Promise<void> {
    const { readiness, time } = this.ports;
    const handler = new forwardedRequestHandler.ForwardedRequestHandler(gateway, readiness, time);
    try {
      this.listener = await daemon.listen(
        nestModule.GatewayModule.with(handler),
        address,
        limits,
        new daemon.FailureFilter(() => 0),
        undefined,
        handler.intake(intake),
      );
      this.listeningAddress = `${address.host}:${this.listener.port}`;
    } catch (error) {
      const reason = (error as Error).message;
      logger.error('cannot listen for other gateways; their requests are not accepted', {
        ...address,
        reason,
      });
    }
    this.report();
  }

  /** Tells the control leader whether this gateway takes requests; call it when its readiness changes. */
  report(): void {
    this.directory.report();
  }

  async close(): Promise<void> {
    this.handOverTimer?.cancel();
    this.detector.close();
    this.directory.close();
    this.forwarder.close();
    await this.listener?.close();
  }

  private ownReport(): peerGatewayMessage.GatewayReport | undefined {
    const { plane, place, readiness } = this.ports;
    const { zone, region } = place;
    const { daemonId } = plane.status();
    const isAvailable = readiness.isReady && !this.isCutOff;
    return this.listeningAddress === undefined
      ? undefined
      : { daemonId, address: this.listeningAddress, zone, region, isAvailable };
  }

  /** Probes a server on a new connection; a success is news for the membership task too. */
  private async probe(serverId: string): Promise<boolean> {
    const { pool, membership, time } = this.ports;
    const startedAt = time.monotonic();
    const outcome = await pool.probe(serverId);
    if (outcome?.ok === true) {
      membership.recordProbe(serverId, startedAt, outcome.val);
    }
    return outcome?.ok === true;
  }

  private changed(): void {
    this.report();
    this.handOver();
  }

  /** Hands requests that get no answer over to other gateways, as long as this one is cut off. */
  private handOver(): void {
    this.handOverTimer?.cancel();
    if (this.isCutOff) {
      this.ports.task.connectivityLost();
      const repeat = () => this.handOver();
      this.handOverTimer = this.ports.time.setTimer(HAND_OVER_INTERVAL_MILLISECONDS, repeat);
    }
  }
}

const logger = new logging.Logger('gateway');

const HAND_OVER_INTERVAL_MILLISECONDS = 200;
