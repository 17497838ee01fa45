import * as clock from '../clock';
import * as control from '../control';
import * as logging from '../logging';
import * as messages from './peer-gateway-message';

/** Dependencies of the directory. */
export interface PeerGatewayDirectoryPorts {
  readonly plane: Pick<control.ControlPlane, 'sendToLeader' | 'onBroadcast'>;
  readonly time: clock.Clock;
  /** What this gateway tells of itself; absent while it does not listen for other gateways. */
  readonly report: () => messages.GatewayReport | undefined;
}

/** The gateways near this one. The last answer of the leader is kept while there is no leader. */
export class PeerGatewayDirectory {
  private gateways: readonly messages.PeerGateway[] = [];

  private timer: clock.Timer | undefined;

  private readonly unsubscribe: () => void;

  constructor(private readonly ports: PeerGatewayDirectoryPorts) {
    this.unsubscribe = ports.plane.onBroadcast(control.PeerTopic.Gateways, (payload) =>
      this.receive(payload),
    );
  }

  /** Available gateways, the nearest ones first. */
  get near(): readonly messages.PeerGateway[] {
    return this.gateways;
  }

  /** Sends a report at once and repeats it at intervals; call it again after a change. */
  report(): void {
    this.timer?.cancel();
    const report = this.ports.report();
    const isSent =
      report !== undefined && this.ports.plane.sendToLeader(control.PeerTopic.Gateways, { report });
    const interval =
      report?.isAvailable === true
        ? messages.REPORT_INTERVAL_MILLISECONDS
        : UNAVAILABLE_INTERVAL_MILLISECONDS;
    const delay = isSent ? interval : RETRY_MILLISECONDS;
    this.timer = this.ports.time.setTimer(delay, () => this.report());
  }

  close(): void {
    this.timer?.cancel();
    this.unsubscribe();
  }

  private receive(payload: unknown): void {
    const parsed = messages.peerGatewayMessageSchema.safeParse(payload);
    if (!parsed.success || !('near' in parsed.data)) {
      logger.warning('list of gateways from the leader is malformed; it is ignored');
      return;
    }
    this.gateways = parsed.data.near;
  }
}

const logger = new logging.Logger('gateways');

/** A gateway in a cut has to learn soon which of its neighbours are in the cut too. */
const UNAVAILABLE_INTERVAL_MILLISECONDS = 400;

/** Until there is a link to a leader. */
const RETRY_MILLISECONDS = 250;
