import * as results from 'ts-results';
import * as configuration from '../configuration';
import * as control from '../control';
import * as logging from '../logging';
import * as routes from '../routes';
import type * as weightsAge from './weights-age';
import * as weightsLog from './weights-log';

/** Decodes the platform's text of a routing document; `Err` lists every fault. */
export type RoutingDecoder = (
  text: string,
) => results.Result<routes.RoutingTable, readonly string[]>;

/** A routing table in force together with what the decision core and the orders know of it. */
export interface ActiveRouting {
  readonly table: routes.RoutingTable;
  readonly snapshot: configuration.ConfigurationSnapshot;
}

/** Ages of weights versions that end something each. */
export interface WeightsAges {
  /** Ends the dispatch to engines with older versions. */
  readonly work: weightsAge.WeightsAge;
  /** Ends the wait inside engines with older versions. */
  readonly start: weightsAge.WeightsAge;
}

/** Follows the register and turns each change into an active routing table. */
export class RoutingSource {
  private readonly log = new weightsLog.WeightsLog();

  private register = control.EMPTY_REGISTER;

  private active: ActiveRouting | undefined;

  private decodedVersion: number | undefined;

  private table: routes.RoutingTable | undefined;

  constructor(
    private readonly decode: RoutingDecoder,
    private readonly speeds: routes.EngineSpeeds,
    /** Absent where nothing depends on the age of a version. */
    private readonly ages?: WeightsAges,
  ) {}

  /** The snapshot in force; empty before the first routing document. */
  get snapshot(): configuration.ConfigurationSnapshot {
    return this.active?.snapshot ?? configuration.EMPTY_SNAPSHOT;
  }

  /** The routing in force when time alone has changed it since it was returned last. */
  refresh(): ActiveRouting | undefined {
    const isDue = this.ages?.work.isChangeDue() === true || this.ages?.start.isChangeDue() === true;
    return isDue ? this.update(this.register) : undefined;
  }

  /** Takes over a register; returns the routing in force when there is one. */
  update(register: control.Register): ActiveRouting | undefined {
    const { routing } = register;
    this.register = register;
    if (routing !== undefined && routing.version !== this.decodedVersion) {
      this.decodedVersion = routing.version;
      this.decodeTable(routing);
    }
    const { table } = this;
    // Models that no service runs now are looked at too, or a change of theirs would stay due.
    const weights = register.weights.map((named, model) => this.weightsOf(model, named));
    if (table !== undefined) {
      const snapshot = routes.decisionSnapshot(
        table,
        this.speeds,
        (model) => weights.get(model) ?? {},
      );
      this.active = { table, snapshot };
    }
    return this.active;
  }

  private weightsOf(model: string, named: control.DesiredWeights): routes.ModelWeights {
    const weights = {
      named: named.version.toString(),
      minimum: this.ages?.work.minimumVersion(model, named),
      minimumStart: this.ages?.start.minimumVersion(model, named),
    };
    if (this.ages !== undefined) {
      this.log.logChanges(model, weights, this.ages.work);
    }
    return weights;
  }

  /** How long ago the weights of a server of a service were superseded, as far as this daemon knows. */
  supersededMilliseconds(serviceName: string, weightsVersion: string): number | undefined {
    const model = this.modelOf(serviceName);
    return model === undefined
      ? undefined
      : this.ages?.work.supersededMilliseconds(model, weightsVersion);
  }

  /** The versions of the model of a service from the oldest one that gets work on, oldest first. */
  desiredVersions(serviceName: string): readonly weightsAge.DesiredVersionAge[] {
    const model = this.modelOf(serviceName);
    return (model === undefined ? undefined : this.ages?.work.desiredVersions(model)) ?? [];
  }

  private modelOf(serviceName: string): string | undefined {
    return this.table?.services.find(({ name }) => name === serviceName)?.engine?.model;
  }

  /** Documents are checked before they are written, so that a fault here is one of this program. */
  private decodeTable(routing: control.RoutingText): void {
    const decoded = this.decode(routing.text);
    if (decoded.err) {
      logger.error('committed routing document cannot be read; the one before stays in force', {
        version: routing.version,
        reason: decoded.val.join('; '),
      });
      return;
    }
    this.table = decoded.val;
    logger.information('routing document in force', {
      version: routing.version,
      routes: decoded.val.routes.length,
    });
  }
}

const logger = new logging.Logger('gateway');
