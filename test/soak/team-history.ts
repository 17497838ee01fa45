/** A routing document as far as it isolates teams. */
interface Isolation {
  readonly teams: ReadonlySet<string>;
  /** Monotonic times in milliseconds. */
  readonly sentAt: number;
  acknowledgedAt: number | undefined;
}

/** Which teams the documents of an operator isolated, and since when they have to be in force. */
export class TeamHistory {
  private readonly documents: Isolation[] = [];

  /** Records a document before it is sent first; the result records its acknowledgement. */
  send(teams: ReadonlySet<string>, sentAt: number): (acknowledgedAt: number) => void {
    const document: Isolation = { teams, sentAt, acknowledgedAt: undefined };
    this.documents.push(document);
    return (acknowledgedAt) => {
      document.acknowledgedAt = acknowledgedAt;
    };
  }

  /**
   * Whether a team was isolated at a moment by all documents that a gateway may have used then.
   *
   * @param inForceMilliseconds how long after its acknowledgement a document must be in use
   */
  isIsolated(team: string, at: number, inForceMilliseconds: number): boolean {
    const inForce = this.documents.findLastIndex(
      ({ acknowledgedAt = Infinity }) => acknowledgedAt + inForceMilliseconds <= at,
    );
    const possible = this.documents
      .slice(Math.max(0, inForce))
      .filter(({ sentAt }) => sentAt <= at);
    return inForce >= 0 && possible.every(({ teams }) => teams.has(team));
  }
}
