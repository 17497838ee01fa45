import * as chat from '../../src/demo/chat';
import * as daemonProcess from '../../src/demo/daemon-process';
import * as documents from '../../src/demo/example-documents';

/** How one request of the load ended. */
export enum LoadResult {
  Right = 'right',
  /** Refused as "not run", or the connection was refused: another daemon may run the request. */
  NotRun = 'not-run',
  /** An explicit failure with another verdict. */
  Failed = 'failed',
  /** The connection broke, or the answer seemed complete and was wrong. */
  Cut = 'cut',
}

export interface LoadOutcome {
  readonly daemonId: string;
  readonly result: LoadResult;
  readonly revision: number;
  readonly detail: string;
}

export interface LoadPlan {
  readonly concurrency: number;
  readonly outputTokens: number;
  /** Daemons to which the load balancer would currently send requests. */
  readonly targets: () => readonly daemonProcess.DaemonProcess[];
}

/** Streams chats through changing daemons until it is stopped; limited in count and time. */
export class ChatLoad {
  readonly outcomes: LoadOutcome[] = [];

  private isStopped = false;

  private sent = 0;

  private readonly workers: Promise<void>[];

  private readonly end = Date.now() + MAXIMUM_MILLISECONDS;

  constructor(private readonly plan: LoadPlan) {
    this.workers = Array.from({ length: plan.concurrency }, () => this.work());
  }

  count(result: LoadResult): number {
    return this.outcomes.filter((outcome) => outcome.result === result).length;
  }

  /** The first three outcomes with this result, for the message of an assertion. */
  details(result: LoadResult): string {
    const found = this.outcomes.filter((outcome) => outcome.result === result);
    return JSON.stringify(found.slice(0, 3));
  }

  /** Sends nothing new and waits for the running requests. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.workers);
  }

  private async work(): Promise<void> {
    while (!this.isStopped && this.sent < MAXIMUM_REQUESTS && Date.now() < this.end) {
      const targets = this.plan.targets();
      this.sent += 1;
      if (targets.length === 0) {
        await pause();
        continue;
      }
      const outcome = await this.sendOne(targets[this.sent % targets.length], this.sent);
      this.outcomes.push(outcome);
      if (outcome.result !== LoadResult.Right) {
        await pause();
      }
    }
  }

  private async sendOne(daemon: daemonProcess.DaemonProcess, number: number): Promise<LoadOutcome> {
    const { daemonId } = daemon.options;
    try {
      const outcome = await chat.chat({
        port: daemon.callerPort,
        token: documents.TEAM_TOKENS.depot,
        model: documents.INTENT.name,
        prompt: `Sack ${number}: torn seam.`,
        outputTokens: this.plan.outputTokens,
        weightsVersion: documents.MODEL_SERVICE.weightsVersion,
      });
      const { revision } = outcome;
      return { daemonId, result: resultOf(outcome), revision, detail: outcome.raw.slice(-300) };
    } catch (error) {
      const { code = '' } = error as NodeJS.ErrnoException;
      const result = code === 'ECONNREFUSED' ? LoadResult.NotRun : LoadResult.Cut;
      return { daemonId, result, revision: 0, detail: code };
    }
  }
}

function resultOf(outcome: chat.ChatOutcome): LoadResult {
  if (outcome.isCorrect && outcome.hasEnd) {
    return LoadResult.Right;
  }
  if (outcome.hasEnd || outcome.verdict === undefined) {
    return LoadResult.Cut;
  }
  return outcome.verdict === 'not-run' ? LoadResult.NotRun : LoadResult.Failed;
}

function pause(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, PAUSE_MILLISECONDS);
  });
}

const MAXIMUM_REQUESTS = 20_000;
const MAXIMUM_MILLISECONDS = 60_000;
const PAUSE_MILLISECONDS = 20;
