import * as hotShots from 'hot-shots';
import * as logging from '../logging';
import * as metrics from './metrics';

/** Sends measurements by UDP to a StatsD collector that supports histograms and tags. */
export class StatsdMetrics extends metrics.Metrics {
  private readonly client: hotShots.StatsD;

  /**
   * @param host IP address of the collector
   * @param port UDP port of the collector
   * @param zone availability zone added to every measurement
   */
  constructor(host: string, port: number, zone: string) {
    super();
    this.client = new hotShots.StatsD({
      host,
      port,
      prefix: 'figline.',
      globalTags: { zone },
      maxBufferSize: MAXIMUM_DATAGRAM_BYTES,
      errorHandler: (error) =>
        logger.warning('metrics datagram could not be sent', { reason: error.message }),
    });
  }

  override observe(histogram: metrics.Histogram, value: number, tags: metrics.MetricTags): void {
    this.client.histogram(histogram, value, definedTags(tags));
  }

  override count(counter: metrics.Counter, tags: metrics.MetricTags, amount = 1): void {
    this.client.increment(counter, amount, definedTags(tags));
  }

  override set(gauge: metrics.Gauge, value: number): void {
    this.client.gauge(gauge, value);
  }

  override close(): Promise<void> {
    return new Promise((resolve) => {
      this.client.close(() => resolve());
    });
  }
}

const logger = new logging.Logger('metrics');

// Larger datagrams are fragmented on links with an MTU of 1,500 bytes.
const MAXIMUM_DATAGRAM_BYTES = 1_400;

function definedTags(tags: metrics.MetricTags): Record<string, string> {
  return Object.fromEntries(
    Object.entries(tags).filter((entry): entry is [string, string] => entry[1] !== undefined),
  );
}
