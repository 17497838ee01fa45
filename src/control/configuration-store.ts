import * as configuration from '../configuration';
import * as logging from '../logging';

/** Called on each higher revision. */
export type ConfigurationListener = (snapshot: configuration.ConfigurationSnapshot) => void;

// A daemon that missed more revisions gets the whole configuration.
const RETAINED_DELTAS = 500;

/** The newest committed configuration of a daemon, and the deltas that lead to it. */
export class ConfigurationStore {
  private snapshot = configuration.EMPTY_SNAPSHOT;

  /** Consecutive deltas, the last of which leads to the current revision. */
  private deltas: configuration.ConfigurationDelta[] = [];

  private readonly listeners = new Set<ConfigurationListener>();

  get current(): configuration.ConfigurationSnapshot {
    return this.snapshot;
  }

  subscribe(listener: ConfigurationListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Applies a snapshot with a higher revision; returns whether it was applied. */
  applySnapshot(snapshot: configuration.ConfigurationSnapshot): boolean {
    if (snapshot.revision <= this.snapshot.revision) {
      return false;
    }
    this.deltas = [];
    this.replace(snapshot);
    return true;
  }

  /** Applies a delta that starts at the current revision; returns whether it was applied. */
  applyDelta(delta: configuration.ConfigurationDelta): boolean {
    const next = configuration.applyDelta(this.snapshot, delta);
    if (next === this.snapshot) {
      return false;
    }
    this.deltas = [...this.deltas, delta].slice(-RETAINED_DELTAS);
    this.replace(next);
    return true;
  }

  /**
   * The changes from `revision` to the current one as one delta; `undefined` when some are no longer stored.
   */
  changesSince(revision: number): configuration.ConfigurationDelta | undefined {
    const position = this.deltas.findIndex((delta) => delta.from === revision);
    return position < 0 ? undefined : this.deltas.slice(position).reduce(merge);
  }

  private replace(snapshot: configuration.ConfigurationSnapshot): void {
    this.snapshot = snapshot;
    this.listeners.forEach((listener) => notify(listener, snapshot));
  }
}

const logger = new logging.Logger('control');

/** A listener that throws must stop neither the replica nor the other listeners. */
function notify(
  listener: ConfigurationListener,
  snapshot: configuration.ConfigurationSnapshot,
): void {
  try {
    listener(snapshot);
  } catch (error) {
    const { revision } = snapshot;
    logger.error('configuration listener failed; the other listeners are called', {
      revision,
      reason: (error as Error).message,
    });
  }
}

/** Merges two consecutive deltas; a later change of a document replaces an earlier one. */
function merge(
  first: configuration.ConfigurationDelta,
  second: configuration.ConfigurationDelta,
): configuration.ConfigurationDelta {
  const upserts = new Map(
    first.upserts.map((document) => [configuration.documentKey(document), document]),
  );
  const removals = new Set(first.removals);
  second.removals.forEach((key) => {
    upserts.delete(key);
    removals.add(key);
  });
  second.upserts.forEach((document) => {
    const key = configuration.documentKey(document);
    upserts.set(key, document);
    removals.delete(key);
  });
  return {
    from: first.from,
    to: second.to,
    upserts: [...upserts.values()],
    removals: [...removals],
    publishes: [...(first.publishes ?? []), ...(second.publishes ?? [])],
  };
}
