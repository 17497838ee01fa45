import * as control from '../../src/control';
import * as stateMachine from '../../src/control/state-machine';
import * as replica from '../../src/replica';
import * as wire from '../../src/wire';
import * as simulation from '../replica/simulation';
import * as builder from './group-builder';

const KEYS = 4;

/**
 * The control state of each simulated replica. Throws when two replicas compute different results for an
 * entry.
 */
export class SimulatedApplication implements simulation.Application {
  private readonly states: stateMachine.ControlState[];

  /** The result of each command, by log index. */
  private readonly results = new Map<number, string>();

  /** The attempt that holds each key. */
  private readonly holders = new Map<string, string>();

  private readonly highestRevisions: number[];

  private sequence = 0;

  constructor(slots: number) {
    this.states = Array.from({ length: slots }, () => stateMachine.EMPTY_CONTROL_STATE);
    this.highestRevisions = Array.from({ length: slots }, () => 0);
  }

  /** A random command; some attempts and publishes are repeated, as after a lost answer. */
  nextCommand(slot: number, uniform: () => number): Uint8Array {
    this.sequence += uniform() < 0.8 ? 1 : 0;
    const key = `key-${Math.floor(uniform() * KEYS)}`;
    const attemptId = `attempt-${this.sequence}`;
    const base = this.states[slot].revisions.snapshot.revision;
    const choice = uniform();
    if (choice < 0.4) {
      return wire.encode(builder.claim(key, attemptId));
    }
    if (choice < 0.8) {
      return wire.encode(builder.publish(`publish-${this.sequence}`, base));
    }
    return wire.encode({
      kind: control.CommandKind.AbandonClaim,
      team: 'roasters',
      key,
      attemptId: `attempt-${this.sequence - Math.floor(uniform() * 10)}`,
    });
  }

  apply(slot: number, entry: replica.Entry): void {
    if (entry.data === undefined || entry.data.length === 1) {
      return;
    }
    const command = wire.decode(entry.data) as control.Command;
    const { state, result } = stateMachine.apply(this.states[slot], command, entry.timestamp);
    this.states[slot] = state;
    const text = JSON.stringify(result);
    const previous = this.results.get(entry.index);
    if (previous !== undefined && previous !== text) {
      throw new Error(`replicas disagree about the result of entry ${entry.index}`);
    }
    this.recordRevision(slot);
    if (previous === undefined) {
      this.results.set(entry.index, text);
      this.recordHolder(command, result);
    }
  }

  restore(slot: number, data: Uint8Array): void {
    this.states[slot] = stateMachine.decodeState(data);
    this.recordRevision(slot);
  }

  encode(slot: number): Uint8Array {
    return stateMachine.encodeState(this.states[slot]);
  }

  reset(slot: number): void {
    this.states[slot] = stateMachine.EMPTY_CONTROL_STATE;
    this.highestRevisions[slot] = 0;
  }

  private recordRevision(slot: number): void {
    const { revision } = this.states[slot].revisions.snapshot;
    if (revision < this.highestRevisions[slot]) {
      throw new Error(`revision decreased from ${this.highestRevisions[slot]} to ${revision}`);
    }
    this.highestRevisions[slot] = revision;
  }

  private recordHolder(command: control.Command, result: control.CommandResult): void {
    if (command.kind === control.CommandKind.AbandonClaim) {
      if (this.holders.get(command.key) === command.attemptId) {
        this.holders.delete(command.key);
      }
    }
    if (
      command.kind === control.CommandKind.Claim &&
      result.kind === control.CommandResultKind.ClaimGranted
    ) {
      const holder = this.holders.get(command.key) ?? command.attemptId;
      if (holder !== command.attemptId) {
        throw new Error(`key ${command.key} was granted to ${holder} and ${command.attemptId}`);
      }
      this.holders.set(command.key, command.attemptId);
    }
  }
}
