import * as command from '../command';
import * as control from '../control';

/** History for `GET /operator/history`, from the publishes that the configuration contains. */
export class PublishedHistory extends command.RevisionHistory {
  constructor(private readonly plane: control.ControlPlane) {
    super();
  }

  override recent(limit: number): readonly command.HistoryEntry[] {
    const publishes = this.plane.configuration().recentPublishes ?? [];
    return publishes
      .slice(-limit)
      .reverse()
      .map((record) => ({
        ...record,
        upserts: [...record.upserts],
        removals: [...record.removals],
      }));
  }
}
