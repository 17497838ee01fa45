import * as backend from '../backend';
import * as clock from '../clock';
import * as cacheEventLog from './cache-event-log';
import type * as engineOptions from './engine-options';
import * as loadHistory from './load-history';
import * as promptCache from './prompt-cache';
import * as slotQueue from './slot-queue';

/** The state of an emulated engine that a crash loses. */
export class EngineState {
  readonly events: cacheEventLog.CacheEventLog;

  readonly cache: promptCache.PromptCache;

  readonly slots: slotQueue.SlotQueue;

  queuedPrefillTokens = 0;

  highestFencingNumber = 0;

  role = 'general';

  readonly adapters = new Set<string>();

  loadingWeights = false;

  private readonly history: loadHistory.LoadHistory;

  constructor(
    readonly incarnation: string,
    public weightsVersion: string,
    options: engineOptions.EngineOptions,
    time: clock.Clock,
  ) {
    const eventFaults = {
      delayMilliseconds: options.cacheEventDelayMilliseconds,
      loseEvery: options.loseCacheEventEvery,
    };
    const cacheLimits = {
      maximumBlocks: options.cacheBlocks,
      keepMilliseconds: options.cacheMilliseconds,
    };
    this.events = new cacheEventLog.CacheEventLog(eventFaults, time);
    this.cache = new promptCache.PromptCache(cacheLimits, time, (kind, chainHash) =>
      this.events.add(kind, chainHash),
    );
    this.slots = new slotQueue.SlotQueue(options.slots);
    this.history = new loadHistory.LoadHistory(options.loadLagMilliseconds, time);
  }

  /** Records the load; call it after each change. */
  recordLoad(): void {
    const { running, queued } = this.slots;
    this.history.record({
      runningRequests: running,
      queuedRequests: queued,
      queuedPrefillTokens: this.queuedPrefillTokens,
    });
  }

  loadReport(ageMilliseconds: number): backend.LoadReport {
    const { incarnation, weightsVersion } = this;
    return { incarnation, weightsVersion, ageMilliseconds, ...this.history.lagged() };
  }
}
