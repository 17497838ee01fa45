import * as clock from '../../src/clock';
import * as control from '../../src/control';
import * as gateway from '../../src/gateway';
import * as lifecycle from '../../src/lifecycle';

/** Links and load messages of gateways that accept no requests; their reported load is random. */
export class PeerGateways {
  private readonly time = new clock.SystemClock();

  private readonly random = new clock.SystemRandomSource();

  private readonly exchanges: gateway.LoadExchange[] = [];

  private isBusy = false;

  constructor(
    private readonly serverIds: readonly string[],
    private readonly replicas: readonly string[],
    private readonly preSharedKey: string,
  ) {}

  async start(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      await this.startOne(index);
    }
  }

  /** Makes the peers report load as on a busy day, or none. */
  setBusy(isBusy: boolean): void {
    this.isBusy = isBusy;
  }

  private async startOne(index: number): Promise<void> {
    const { time, random, replicas } = this;
    const controlNode = await control.ControlNode.start({
      daemonId: `peer-${index}`,
      zone: 'pl-caudan',
      listenHost: '127.0.0.1',
      listenPort: 0,
      peers: replicas,
      replicas,
      mayBootstrap: false,
      preSharedKey: this.preSharedKey,
      clock: time,
      random,
      lifecycle: new lifecycle.LifecycleManager(time),
    });
    const buffer = new gateway.PlacementBuffer(time);
    this.exchanges.push(
      new gateway.LoadExchange(
        { plane: controlNode, time, placementBuffer: buffer },
        {
          loads: () => {
            this.addPlacement(buffer);
            return this.randomLoads();
          },
          demand: () => ({ totalMilliseconds: 0, keys: [] }),
        },
        () => {},
      ),
    );
  }

  /** A gateway has a few requests in flight, and about one arrives in each interval of its messages. */
  private randomLoads(): readonly gateway.InFlightLoad[] {
    if (!this.isBusy) {
      return [];
    }
    return this.randomServers(SERVERS_WITH_LOAD).map((serverId) => ({
      serverId,
      requests: 1,
      prefillTokens: this.random.integer(0, 3_000),
      memoryTokens: 5_000,
    }));
  }

  private addPlacement(buffer: gateway.PlacementBuffer): void {
    if (this.isBusy) {
      const [serverId] = this.randomServers(1);
      const hashes = [1, 2, 3].map((depth) => this.random.integer(0, PREFIX_HASHES) * depth);
      buffer.add({ serverId, hashes });
    }
  }

  private randomServers(count: number): readonly string[] {
    const { serverIds, random } = this;
    return Array.from(
      { length: count },
      () => serverIds[random.integer(0, serverIds.length)],
    ).filter((serverId, index, all) => all.indexOf(serverId) === index);
  }
}

const SERVERS_WITH_LOAD = 3;

/** Number of simulated sessions; each has one prefix hash at each depth. */
const PREFIX_HASHES = 400;
