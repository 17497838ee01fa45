import * as immutable from 'immutable';
import * as results from 'ts-results';
import * as configuration from '../configuration';
import * as control from '../control';
import * as logging from '../logging';
import * as routes from '../routes';
import type * as weightsAge from './weights-age';
import * as weightsLog from './weights-log';

/** Decodes a routing document of the platform; `Err` lists every error. */
export type RoutingDecoder = (
  text: string,
) => results.Result<routes.RoutingTable, readonly string[]>;

/** The active routing table and the configuration that the decision core and the order core derive from it. */
export interface ActiveRouting {
  readonly table: routes.RoutingTable;
  readonly snapshot: configuration.ConfigurationSnapshot;
  /** Version of the routing document since which teams share cached prompt parts, if they ever had to start anew. */
  readonly sharedSince?: number;
}

/** Two grace times for engines with older weights versions. */
export interface WeightsAges {
  /** At its end no requests are dispatched to engines with older versions. */
  readonly dispatch: weightsAge.WeightsAge;
  /** At its end requests that still wait inside engines with older versions are cancelled. */
  readonly start: weightsAge.WeightsAge;
}

/** Derives the active routing table and configuration from the replicated register. */
export class RoutingSource {
  private readonly log = new weightsLog.WeightsLog();

  private register = control.EMPTY_REGISTER;

  private active: ActiveRouting | undefined;

  private decodedVersion: number | undefined;

  private table: routes.RoutingTable | undefined;

  private sharedSince: number | undefined;

  /** By model, also of those that the register names no more: a model without desired weights may run any. */
  private desired = immutable.Map<string, control.DesiredWeights>();

  constructor(
    private readonly decode: RoutingDecoder,
    private readonly engineProperties: routes.EngineProperties,
    /** Absent if nothing depends on the age of a version. */
    private readonly ages?: WeightsAges,
  ) {}

  /** The active configuration; empty before the first routing document. */
  get snapshot(): configuration.ConfigurationSnapshot {
    return this.active?.snapshot ?? configuration.EMPTY_SNAPSHOT;
  }

  /** The active routing, if it has changed since the last call because a grace time has ended. */
  refresh(): ActiveRouting | undefined {
    const isDue =
      this.ages?.dispatch.isChangeDue() === true || this.ages?.start.isChangeDue() === true;
    return isDue ? this.update(this.register) : undefined;
  }

  /** Applies a register; returns the active routing if there is one. */
  update(register: control.Register): ActiveRouting | undefined {
    const { routing } = register;
    this.register = register;
    this.sharedSince = latestStart(this.sharedSince, register.cacheSharing?.since);
    this.desired = this.desired.merge(register.weights);
    if (routing !== undefined && routing.version !== this.decodedVersion) {
      this.decodedVersion = routing.version;
      this.decodeTable(routing);
    }
    const { table } = this;
    // Includes models that no service runs now; otherwise a due change of such a model would stay due for ever.
    const weights = this.desired.map((desired, model) => this.weightsOf(model, desired));
    if (table !== undefined) {
      const snapshot = routes.decisionSnapshot(
        table,
        this.engineProperties,
        (model) => weights.get(model) ?? {},
      );
      this.active = { table, snapshot, sharedSince: this.sharedSince };
    }
    return this.active;
  }

  private weightsOf(model: string, desired: control.DesiredWeights): routes.ModelWeights {
    const weights = {
      desired: desired.version.toString(),
      minimum: this.ages?.dispatch.minimumVersion(model, desired),
      minimumStart: this.ages?.start.minimumVersion(model, desired),
    };
    if (this.ages !== undefined) {
      this.log.logChanges(model, weights, this.ages.dispatch);
    }
    return weights;
  }

  /** Milliseconds since a newer weights version of a service was set, as far as this daemon knows. */
  supersededMilliseconds(serviceName: string, weightsVersion: string): number | undefined {
    const model = this.modelOf(serviceName);
    return model === undefined
      ? undefined
      : this.ages?.dispatch.supersededMilliseconds(model, weightsVersion);
  }

  /** Desired versions of a service's model from the oldest one that gets requests on, oldest first. */
  desiredVersions(serviceName: string): readonly weightsAge.DesiredVersionAge[] {
    const model = this.modelOf(serviceName);
    return (model === undefined ? undefined : this.ages?.dispatch.desiredVersions(model)) ?? [];
  }

  private modelOf(serviceName: string): string | undefined {
    return this.table?.services.find(({ name }) => name === serviceName)?.engine?.model;
  }

  /** An error here is a bug: documents are validated before they are committed. */
  private decodeTable(routing: control.RoutingText): void {
    const decoded = this.decode(routing.text);
    if (decoded.err) {
      logger.error('committed routing document is invalid; the previous one stays active', {
        version: routing.version,
        reason: decoded.val.join('; '),
      });
      return;
    }
    this.table = decoded.val;
    logger.information('routing document activated', {
      version: routing.version,
      routes: decoded.val.routes.length,
    });
  }
}

/** Sharing that has started anew stays so: without a start, teams would use the parts of before it. */
function latestStart(known: number | undefined, next: number | undefined): number | undefined {
  return known === undefined || next === undefined ? (next ?? known) : Math.max(known, next);
}

const logger = new logging.Logger('gateway');
