import * as http from 'node:http';
import type * as clock from '../../src/clock';
import * as replacedControl from '../platform/replaced-control';
import type * as runJudge from './run-judge';
import * as soakDocument from './soak-document';

/** What a caller got for one attempt. */
interface Outcome {
  /** 0 without an answer. */
  readonly status: number;
  readonly text: string;
  readonly isComplete: boolean;
}

/** A caller of one team that keeps its connection until its gateway is gone, and takes up broken streams elsewhere. */
export class SoakCaller {
  /** Number of answers by status; 0 for a request without an answer. */
  readonly answers = new Map<number, number>();

  /** Streams that were taken up again, and those of them that became complete. */
  readonly takenUp = { sent: 0, complete: 0 };

  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

  private gateway: replacedControl.StartedNode | undefined;

  private requests = 0;

  constructor(
    readonly name: string,
    private readonly team: string,
    private readonly site: replacedControl.ReplacedControlSite,
    private readonly judge: runJudge.RunJudge,
    private readonly random: clock.RandomSource,
  ) {}

  /** Sends one request, and takes its stream up again if that broke off. */
  async call(): Promise<void> {
    this.requests += 1;
    const kind = KINDS[this.random.integer(0, KINDS.length)];
    const path = `/${kind}/${this.name}-${this.requests}`;
    const prompt = this.promptOf(this.requests);
    const id = `${this.name}-${this.requests}`;
    let outcome = await this.attempt(id, kind, path, { 'x-figline-prompt-prefix': prompt });
    let { text } = outcome;
    const isResumable = kind === soakDocument.RequestKind.Reply;
    for (let attempt = 2; attempt <= ATTEMPTS && isBroken(outcome) && isResumable; attempt += 1) {
      const wholeEvents = text.slice(0, text.lastIndexOf('\n\n') + 2);
      text = wholeEvents.startsWith('id:') ? wholeEvents : '';
      if (text === '') {
        break;
      }
      this.takenUp.sent += 1;
      outcome = await this.attempt(`${id}-${attempt}`, kind, path, {
        'x-figline-prompt-prefix': prompt,
        'last-event-id': String(text.split('\n\n').length - 1),
        resumes: id,
      });
      text += outcome.status === OK ? outcome.text : '';
      this.takenUp.complete += outcome.isComplete && outcome.status === OK ? 1 : 0;
    }
    if (text !== '') {
      const isComplete = outcome.status === OK && outcome.isComplete;
      this.judge.received({ id, path, text, isComplete });
    }
  }

  close(): void {
    this.agent.destroy();
  }

  /** The first two parts are shared by all callers. */
  private promptOf(request: number): string {
    const subject = this.random.integer(1, SUBJECTS + 1);
    const own = Buffer.from(`${this.name}-${request}`).toString('hex');
    return `${subject}a:2000,${subject}b:1000,${own}:100`;
  }

  private async attempt(
    id: string,
    kind: soakDocument.RequestKind,
    path: string,
    headers: http.OutgoingHttpHeaders,
  ): Promise<Outcome> {
    this.judge.send({ id, kind, path, team: this.team });
    const outcome = await this.send(id, path, headers);
    this.judge.answered(id, outcome.status);
    this.answers.set(outcome.status, (this.answers.get(outcome.status) ?? 0) + 1);
    await this.pauseAfter(outcome);
    return outcome;
  }

  /** A caller whose gateway is gone goes to another one at once, a refused one sometimes. */
  private async pauseAfter({ status, isComplete }: Outcome): Promise<void> {
    const isGone = status === 0 || !isComplete;
    if (isGone || (status !== OK && this.random.uniform() < MOVE_SHARE)) {
      this.gateway = undefined;
    }
    if (isGone || status !== OK) {
      await replacedControl.pause(this.random.integer(0, LONGEST_PAUSE_MILLISECONDS));
    }
  }

  private send(id: string, path: string, headers: http.OutgoingHttpHeaders): Promise<Outcome> {
    const { gateways } = this.site;
    this.gateway ??= gateways[this.random.integer(0, gateways.length)];
    const { url } = this.gateway.node;
    return new Promise((resolve) => {
      const request = http.request(
        `${url}${path}`,
        { method: 'POST', agent: this.agent, headers: { ...this.headersOf(id), ...headers } },
        (response) => readAnswer(response).then(resolve),
      );
      request.setTimeout(PATIENCE_MILLISECONDS, () => request.destroy());
      request.on('error', () => resolve({ status: 0, text: '', isComplete: false }));
      request.end('prompt');
    });
  }

  private headersOf(id: string): http.OutgoingHttpHeaders {
    return {
      host: soakDocument.HOST,
      authorization: `Token ${soakDocument.credentialOf(this.team)}`,
      'x-figline-request-id': id,
      'x-figline-deadline-ms': soakDocument.TIMEOUT_MILLISECONDS,
      'x-figline-model': 'desk-model',
      'x-figline-token-counts': '3100,6',
    };
  }
}

function isBroken({ status, isComplete }: Outcome): boolean {
  return !isComplete || status !== OK;
}

async function readAnswer(response: http.IncomingMessage): Promise<Outcome> {
  const chunks: Buffer[] = [];
  const status = response.statusCode ?? 0;
  let isComplete = true;
  try {
    for await (const chunk of response) {
      chunks.push(chunk);
    }
  } catch {
    // The gateway or its connection has ended within the answer.
    isComplete = false;
  }
  const text = status === OK ? Buffer.concat(chunks).toString() : '';
  return { status, text, isComplete };
}

/** Streams that may be taken up come most often. */
const KINDS = [
  soakDocument.RequestKind.Reply,
  soakDocument.RequestKind.Reply,
  soakDocument.RequestKind.Report,
  soakDocument.RequestKind.Charge,
  soakDocument.RequestKind.Balance,
];

const OK = 200;

/** Prompts that callers of all teams have in common. */
const SUBJECTS = 3;

const ATTEMPTS = 3;

/** Share of the refused requests after which a caller connects to another gateway. */
const MOVE_SHARE = 0.2;

const LONGEST_PAUSE_MILLISECONDS = 200;

/** A second more than the timeout of the routes. */
const PATIENCE_MILLISECONDS = 4_000;
