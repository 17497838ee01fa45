import * as crypto from 'node:crypto';
import * as configuration from '../../configuration';
import * as control from '../../control';
import * as documents from './documents';

/** Proposes revisions and claims at fixed rates, until it is stopped. */
export class ProposalGenerator {
  proposals = 0;

  failures = 0;

  private timers: NodeJS.Timeout[] = [];

  constructor(private readonly controlPlane: control.ControlPlane) {}

  /** Replaces the rates; a rate of 0 stops its proposals. */
  generate(revisionsPerMinute: number, claimsPerSecond: number): void {
    this.timers.forEach(clearInterval);
    this.timers = [];
    if (revisionsPerMinute > 0) {
      this.timers.push(setInterval(() => this.publish(), 60_000 / revisionsPerMinute));
    }
    if (claimsPerSecond > 0) {
      this.timers.push(setInterval(() => this.claim(), 1_000 / claimsPerSecond));
    }
  }

  /** Publishes a change of one team. */
  private publish(): void {
    const { revision } = this.controlPlane.configuration();
    const changed = { ...documents.team(0), share: 1 + (revision % 7) };
    this.propose(documents.publishCommand(revision, [changed]));
  }

  /** Proposes one claim and its completion with an answer of `ANSWER_BYTES`. */
  private async claim(): Promise<void> {
    const identity = { team: 'team-0', key: uuidVersion7(), attemptId: crypto.randomUUID() };
    const claimed = await this.propose({
      ...identity,
      kind: control.CommandKind.Claim,
      fingerprint: crypto.randomBytes(32).toString('hex'),
      daemonId: 'stand-in',
      keyFormat: configuration.KeyFormat.UuidVersion7,
    });
    if (claimed) {
      const headers = { 'content-type': 'application/json' };
      const answer = { status: 201, headers, body: crypto.randomBytes(ANSWER_BYTES) };
      const kind = control.CommandKind.CompleteClaim;
      await this.propose({ ...identity, kind, answer });
    }
  }

  private async propose(command: control.Command): Promise<boolean> {
    this.proposals += 1;
    const outcome = await this.controlPlane.propose(command, PROPOSAL_TIMEOUT_MILLISECONDS);
    this.failures += outcome.ok ? 0 : 1;
    return outcome.ok;
  }
}

const PROPOSAL_TIMEOUT_MILLISECONDS = 2_000;
const ANSWER_BYTES = 200;
const TIME_DIGITS = 12;

/** RFC 9562: 48 bits of time in milliseconds, then random bits. */
export function uuidVersion7(): string {
  const time = Date.now().toString(16).padStart(TIME_DIGITS, '0');
  const randomPart = crypto.randomUUID().slice('00000000-0000-4'.length);
  return `${time.slice(0, 8)}-${time.slice(8)}-7${randomPart}`;
}
