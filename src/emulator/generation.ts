import type * as http from 'node:http';
import * as clock from '../clock';
import * as completionFormat from './completion-format';
import * as eventWriter from './event-writer';
import * as fault from './fault';
import type * as faultPlan from './fault-plan';

/** Parameters of a generation. */
export interface GenerationPlan {
  readonly path: string;
  readonly text: completionFormat.CompletionText;
  /** The text of the `restart-text` fault. */
  readonly otherText: completionFormat.CompletionText;
  readonly resumeFrom: number;
  readonly pieceMilliseconds: () => number;
}

enum Outcome {
  Sent = 'sent',
  Restart = 'restart',
  Over = 'over',
}

/** Sends the pieces of one answer at the given rate, with the stream faults of the fault plan. */
export class Generation {
  private stopped = false;

  constructor(
    private readonly plan: GenerationPlan,
    private readonly writer: eventWriter.EventWriter,
    private readonly response: http.ServerResponse,
    private readonly faults: faultPlan.FaultPlan,
    private readonly time: clock.Clock,
  ) {}

  /** Ends the generation; nothing more is sent. */
  stop(): void {
    this.stopped = true;
    this.writer.stop();
  }

  /** Resolves when the answer was sent or the generation was stopped. */
  async run(): Promise<void> {
    const injected = this.faults.takeNext(this.plan.path, ...STREAM_FAULTS);
    let { text } = this.plan;
    let number = this.plan.resumeFrom;
    let data = completionFormat.pieceData(text, number);
    while (data !== undefined && !this.stopped) {
      await this.time.sleep(data === '[DONE]' ? 0 : this.plan.pieceMilliseconds());
      const outcome = this.send(number, data, injected);
      if (outcome === Outcome.Over) {
        return;
      }
      if (outcome === Outcome.Restart) {
        text = this.plan.otherText;
        number = -1;
      }
      number += 1;
      data = completionFormat.pieceData(text, number);
    }
    this.writer.end();
  }

  private send(number: number, data: string, injected: fault.Fault | undefined): Outcome {
    if (this.stopped) {
      return Outcome.Over;
    }
    const kind = injected?.atPiece === number ? injected.kind : undefined;
    switch (kind) {
      case fault.FaultKind.ResetMidAnswer:
        this.response.socket?.resetAndDestroy();
        return Outcome.Over;
      case fault.FaultKind.Silent:
        this.writer.fallSilent();
        return Outcome.Sent;
      case fault.FaultKind.EndEarly:
        this.writer.end();
        return Outcome.Over;
      case fault.FaultKind.SkipPiece:
        return Outcome.Sent;
      case fault.FaultKind.RestartText:
        return this.plan.otherText.words.length > 0 && number > 0
          ? Outcome.Restart
          : this.sendPiece(number, data);
      case fault.FaultKind.RepeatPiece:
        this.writer.piece(number, data);
        return this.sendPiece(number, data);
      default:
        return this.sendPiece(number, data);
    }
  }

  private sendPiece(number: number, data: string): Outcome {
    this.writer.piece(number, data);
    return Outcome.Sent;
  }
}

const STREAM_FAULTS = [
  fault.FaultKind.ResetMidAnswer,
  fault.FaultKind.Silent,
  fault.FaultKind.EndEarly,
  fault.FaultKind.SkipPiece,
  fault.FaultKind.RestartText,
  fault.FaultKind.RepeatPiece,
];
