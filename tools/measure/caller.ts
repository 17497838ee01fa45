import * as http from 'node:http';
import * as clock from '../../src/clock';
import * as headerName from '../../platform/header-name';
import * as plan from './plan';

interface TrafficClass {
  readonly path: string;
  /** Share of all requests. */
  readonly share: number;
  /** Tokens of the shared prompt parts, the most widely shared first; empty for plain services. */
  readonly sharedTokens: readonly number[];
  readonly uniqueTokens: number;
  readonly outputTokens: number;
  readonly deadlineMilliseconds: number;
}

/** The mix of requests of the grown deployments. */
const TRAFFIC_CLASSES: readonly TrafficClass[] = [
  {
    path: '/assess/',
    share: 0.382,
    sharedTokens: [198, 1_200, 4_902],
    uniqueTokens: 2_890,
    outputTokens: 9,
    deadlineMilliseconds: 5_126,
  },
  {
    path: '/reply/',
    share: 0.359,
    sharedTokens: [198],
    uniqueTokens: 628,
    outputTokens: 49,
    deadlineMilliseconds: 15_244,
  },
  plainClass('/deposit/', 0.185),
  plainClass('/balance/', 0.074),
];

function plainClass(path: string, share: number): TrafficClass {
  const deadlineMilliseconds = 1_232;
  return { path, share, sharedTokens: [], uniqueTokens: 0, outputTokens: 0, deadlineMilliseconds };
}

/** Sends requests of the mix to one gateway at times that do not depend on its answers (open loop). */
export class Caller {
  private readonly random: clock.SeededRandomSource;

  private readonly agent = new http.Agent({ keepAlive: true });

  private requests = 0;

  private succeeded = 0;

  private events = 0;

  constructor(
    private readonly address: string,
    private readonly teams: number,
    private readonly callPlan: plan.CallPlan,
  ) {
    this.random = new clock.SeededRandomSource(callPlan.seed);
  }

  /** Resolves once every answer has ended; the number and the duration of requests are limited. */
  async run(): Promise<plan.CallCounts> {
    const time = new clock.SystemClock();
    const start = time.monotonic();
    const total = Math.round(this.callPlan.requestsPerSecond * this.callPlan.seconds);
    const running: Promise<void>[] = [];
    for (let index = 0; index < total; index += 1) {
      const due =
        start + ((index + this.random.uniform()) * 1_000) / this.callPlan.requestsPerSecond;
      await time.sleep(Math.max(0, due - time.monotonic()));
      running.push(this.send());
    }
    await Promise.all(running);
    this.agent.destroy();
    const { requests, succeeded, events } = this;
    return { requests, succeeded, events };
  }

  private send(): Promise<void> {
    this.requests += 1;
    const kind = this.randomKind();
    const [host, port] = this.address.split(':');
    return new Promise((resolve) => {
      const request = http.request(
        {
          host,
          port,
          agent: this.agent,
          method: 'POST',
          path: `${kind.path}42`,
          headers: this.headersOf(kind),
          timeout: kind.deadlineMilliseconds,
        },
        (response) => this.readResponse(response).then(resolve),
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve());
      request.end(Buffer.alloc(BODY_BYTES, 'p'));
    });
  }

  private async readResponse(response: http.IncomingMessage): Promise<void> {
    let text = '';
    try {
      for await (const chunk of response) {
        text += String(chunk);
      }
    } catch {
      return;
    }
    this.succeeded += response.statusCode === 200 ? 1 : 0;
    this.events += text.split('id: ').length - 1;
  }

  private randomKind(): TrafficClass {
    let remainder = this.random.uniform();
    return (
      TRAFFIC_CLASSES.find(({ share }) => {
        remainder -= share;
        return remainder < 0;
      }) ?? TRAFFIC_CLASSES[0]
    );
  }

  private headersOf(kind: TrafficClass): http.OutgoingHttpHeaders {
    const team = this.random.integer(0, this.teams);
    const requestNumber = this.random.integer(0, 2 ** 31);
    // The first part is common to all requests, the second to those of a team, the third to those of a session.
    const names = [
      1,
      1_000 + team,
      (1_000 + team) * SESSIONS_PER_TEAM + this.random.integer(0, SESSIONS_PER_TEAM),
    ];
    const parts = kind.sharedTokens.map((tokens, depth) => ({ name: names[depth], tokens }));
    const tokens = [...kind.sharedTokens, kind.uniqueTokens].reduce((sum, part) => sum + part, 0);
    const { HeaderName } = headerName;
    return {
      host: plan.HOST,
      [HeaderName.Authorization]: `Token ${plan.credentialOf(team)}`,
      [HeaderName.RequestId]: requestNumber.toString(16).padStart(16, '0'),
      [HeaderName.DeadlineMilliseconds]: kind.deadlineMilliseconds,
      ...(kind.outputTokens === 0
        ? {}
        : {
            [HeaderName.Model]: plan.MODEL,
            [HeaderName.TokenCounts]: `${tokens},${kind.outputTokens}`,
            [HeaderName.PromptPrefix]: [
              ...parts,
              { name: requestNumber, tokens: kind.uniqueTokens },
            ]
              .map((part) => `${part.name.toString(16)}:${part.tokens}`)
              .join(','),
          }),
    };
  }
}

const BODY_BYTES = 600;
const SESSIONS_PER_TEAM = 4;
