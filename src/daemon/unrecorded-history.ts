import * as command from '../command';

/** Stands in until the control state tells when and by whom its revisions were published. */
export class UnrecordedHistory extends command.RevisionHistory {
  override recent(): readonly command.HistoryEntry[] {
    return [];
  }
}
