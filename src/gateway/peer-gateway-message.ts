import * as zod from 'zod';

/** A gateway that takes requests from gateways which cannot reach the backend servers. */
export interface PeerGateway {
  readonly daemonId: string;
  /** `host:port` of the listener for other gateways. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
}

/** What a gateway tells the leader of itself. */
export interface GatewayReport extends PeerGateway {
  /** Whether it can reach the backend servers and takes requests. */
  readonly isAvailable: boolean;
}

const gatewaySchema = zod.object({
  daemonId: zod.string().min(1).max(256),
  address: zod.string().regex(/^.+:\d{1,5}$/),
  zone: zod.string(),
  region: zod.string(),
});

/** A report of a gateway to the leader, or the leader's answer with the gateways near the reporting one. */
export const peerGatewayMessageSchema = zod.union([
  zod.object({ report: gatewaySchema.extend({ isAvailable: zod.boolean() }) }),
  zod.object({ near: zod.array(gatewaySchema).max(64) }),
]);

export type PeerGatewayMessage = zod.infer<typeof peerGatewayMessageSchema>;

/**
 * How far apart two places are: 0 in one availability zone, 1 in one region, 2 otherwise.
 *
 * @example
 * distanceBetween({ zone: 'a', region: 'r' }, { zone: 'b', region: 'r' }); // 1
 */
export function distanceBetween(
  left: Pick<PeerGateway, 'zone' | 'region'>,
  right: Pick<PeerGateway, 'zone' | 'region'>,
): number {
  if (left.zone === right.zone) {
    return 0;
  }
  return left.region === right.region ? 1 : 2;
}

/** A gateway reports this often, so that a new leader knows all of them soon. */
export const REPORT_INTERVAL_MILLISECONDS = 2_000;
