import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';
import * as placement from '../placement';
import * as messages from './peer-gateway-message';

/** Dependencies of the registry. */
export interface GatewayRegistryPorts {
  readonly plane: Pick<control.ControlPlane, 'leadership' | 'send' | 'onBroadcast'>;
  readonly time: clock.Clock;
}

interface KnownGateway {
  readonly report: messages.GatewayReport;
  readonly reportedAt: number;
  /** The last answer as text, and when it was sent. */
  answer?: { readonly text: string; readonly sentAt: number };
}

/**
 * The gateways as the control leader knows them. The answer to a report names a few gateways near the reporting one, each time
 * they change, so that no message grows with the number of gateways.
 */
export class GatewayRegistry {
  private readonly gateways = new Map<string, KnownGateway>();

  private readonly unsubscribe: () => void;

  constructor(private readonly ports: GatewayRegistryPorts) {
    this.unsubscribe = ports.plane.onBroadcast(control.PeerTopic.Gateways, (payload) =>
      this.receive(payload),
    );
  }

  close(): void {
    this.unsubscribe();
  }

  private receive(payload: unknown): void {
    if (this.ports.plane.leadership().role !== control.ReplicaRole.Leader) {
      return;
    }
    const parsed = messages.peerGatewayMessageSchema.safeParse(payload);
    if (!parsed.success || !('report' in parsed.data)) {
      logger.warning('report of a gateway is malformed; it is ignored');
      return;
    }
    const { report } = parsed.data;
    const now = this.ports.time.monotonic();
    const before = this.gateways.get(report.daemonId);
    const known: KnownGateway = { report, reportedAt: now, answer: before?.answer };
    this.gateways.set(report.daemonId, known);
    const near = this.gatewaysNear(report, now);
    const text = JSON.stringify(near);
    const isRepeated =
      known.answer?.text === text && now - known.answer.sentAt < ANSWER_INTERVAL_MILLISECONDS;
    if (!isRepeated) {
      known.answer = { text, sentAt: now };
      this.ports.plane.send(report.daemonId, control.PeerTopic.Gateways, { near });
    }
  }

  /**
   * Available gateways, the nearest ones first. Gateways at the same distance are ordered differently for each reporting one,
   * so that the gateways of a zone that is cut off do not all choose the same.
   */
  private gatewaysNear(to: messages.PeerGateway, now: number): readonly messages.PeerGateway[] {
    this.gateways.forEach(({ reportedAt }, id) => {
      if (now - reportedAt > RETENTION_MILLISECONDS) {
        this.gateways.delete(id);
      }
    });
    const available = [...this.gateways.values()]
      .map(({ report }) => report)
      .filter(({ daemonId, isAvailable }) => isAvailable && daemonId !== to.daemonId);
    const ranked = placement.rankServers(
      to.daemonId,
      available.map(({ daemonId }) => daemonId),
    );
    const ranks = new Map(ranked.map((daemonId, rank) => [daemonId, rank]));
    return available
      .sort(
        (left, right) =>
          messages.distanceBetween(to, left) - messages.distanceBetween(to, right) ||
          ranks.get(left.daemonId)! - ranks.get(right.daemonId)!,
      )
      .slice(0, MAXIMUM_NEAR)
      .map(({ daemonId, address, zone, region }) => ({ daemonId, address, zone, region }));
  }
}

const logger = new logging.Logger('gateways');

/** Enough for the requests of a gateway when most of its zone is cut off too. */
const MAXIMUM_NEAR = 8;

/** Two reports may be lost. */
const RETENTION_MILLISECONDS = 3 * messages.REPORT_INTERVAL_MILLISECONDS;

/** An answer may be lost, so that it is repeated though nothing has changed. */
const ANSWER_INTERVAL_MILLISECONDS = 10_000;
