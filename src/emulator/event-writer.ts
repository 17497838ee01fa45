import type * as http from 'node:http';
import * as clock from '../clock';

/** Writes the events of one stream, and a comment line after each interval without an event. */
export class EventWriter {
  private timer: clock.Timer | undefined;

  private silent = false;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly commentMilliseconds: number,
    private readonly time: clock.Clock,
  ) {
    this.scheduleComment();
  }

  /** Sends an event without a number. */
  event(name: string, data: object): void {
    this.write(`event: ${name}\ndata: ${JSON.stringify(data)}\n\n`);
  }

  /** Sends a numbered piece. */
  piece(number: number, data: string): void {
    this.write(`id: ${number}\ndata: ${data}\n\n`);
  }

  end(): void {
    this.timer?.cancel();
    if (!this.silent) {
      this.response.end();
    }
  }

  /** Keeps the connection open and sends nothing more. */
  fallSilent(): void {
    this.silent = true;
  }

  /** Sends nothing more and stops the comments; for a closed connection. */
  stop(): void {
    this.fallSilent();
    this.timer?.cancel();
  }

  private write(text: string): void {
    if (!this.silent) {
      this.response.write(text);
      this.scheduleComment();
    }
  }

  private scheduleComment(): void {
    this.timer?.cancel();
    this.timer = this.time.setTimer(this.commentMilliseconds, () => this.write(': idle\n\n'));
  }
}
