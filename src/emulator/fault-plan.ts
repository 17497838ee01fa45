import * as fault from './fault';

/** The faults that are still to be injected into a server. */
export class FaultPlan {
  private pending: { fault: fault.Fault; remaining: number }[] = [];

  /**
   * Adds a fault.
   *
   * @example
   * plan.add({ kind: FaultKind.SkipPiece, atPiece: 3 });
   */
  add(input: fault.FaultInput): void {
    const added = fault.faultSchema.parse(input);
    this.pending.push({ fault: added, remaining: added.times });
  }

  clear(): void {
    this.pending = [];
  }

  /** Removes and returns the next fault of the given kinds for a request to a path, if there is one. */
  takeNext(path: string, ...kinds: readonly fault.FaultKind[]): fault.Fault | undefined {
    const found = this.pending.find(
      (entry) => kinds.includes(entry.fault.kind) && matches(entry.fault, path),
    );
    if (found === undefined) {
      return undefined;
    }
    found.remaining -= 1;
    this.pending = this.pending.filter((entry) => entry.remaining > 0);
    return found.fault;
  }
}

const MANAGEMENT_PREFIX = '/backend/';

function matches(candidate: fault.Fault, path: string): boolean {
  return candidate.path === ''
    ? !path.startsWith(MANAGEMENT_PREFIX)
    : path.startsWith(candidate.path);
}
