import * as http from 'node:http';
import type * as net from 'node:net';
import * as command from '../../src/command';
import * as configuration from '../../src/configuration';
import * as control from '../../src/control';

export const TOKEN = 'operator-token-0123456789abcdef01';

/** An in-memory operator interface of a daemon; validates requests and answers like a real one. */
export class FakeDaemon {
  snapshot: configuration.ConfigurationSnapshot = configuration.EMPTY_SNAPSHOT;

  /** Method and path of each request. */
  readonly requests: string[] = [];

  readonly publishIds: string[] = [];

  readonly history: command.HistoryEntry[] = [];

  /** Publishes whose answer is lost after they were processed. */
  answersToLose = 0;

  /** Errors to answer publishes with instead of processing them, in this order. */
  readonly refusals: command.OperatorErrorCode[] = [];

  /** Runs before a publish is processed. */
  beforePublish: (() => void) | undefined;

  peers: command.DaemonRevision[] = [];

  private readonly server = http.createServer((request, response) => {
    this.handle(request, response);
  });

  private readonly results = new Map<string, command.PublishResponse>();

  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /** Accepts documents as the next revision, as another operator's publish would. */
  accept(request: command.PublishRequest): command.PublishResponse {
    const previous = this.results.get(request.publishId);
    if (previous !== undefined) {
      return previous;
    }
    const result =
      request.baseRevision === this.snapshot.revision ? this.commit(request) : this.conflict();
    this.results.set(request.publishId, result);
    return result;
  }

  private commit(request: command.PublishRequest): command.PublishResponse {
    const from = this.snapshot.revision;
    const to = from + 1;
    this.snapshot = configuration.applyDelta(this.snapshot, { ...request, from, to });
    const { publishId, author, removals } = request;
    const upserts = request.upserts.map(configuration.documentKey);
    this.history.unshift({
      revision: to,
      publishId,
      author,
      committedAtMilliseconds: 0,
      upserts,
      removals,
    });
    return { outcome: control.CommandResultKind.PublishAccepted, revision: to };
  }

  private conflict(): command.PublishResponse {
    return {
      outcome: control.CommandResultKind.PublishConflict,
      currentRevision: this.snapshot.revision,
      winnerPublishId: this.history[0].publishId,
      winnerAuthor: this.history[0].author,
    };
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.requests.push(`${request.method} ${request.url}`);
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
      chunks.push(chunk as Buffer);
    }
    if (request.headers.authorization !== `Bearer ${TOKEN}`) {
      refuse(response, command.OperatorErrorCode.Unauthorized);
      return;
    }
    if (request.method === 'POST') {
      this.publish(Buffer.concat(chunks).toString(), response);
      return;
    }
    const [path] = (request.url as string).split('?');
    response.end(JSON.stringify(this.read(path as command.OperatorPath)));
  }

  private publish(body: string, response: http.ServerResponse): void {
    const request = command.publishRequestSchema.parse(JSON.parse(body));
    this.publishIds.push(request.publishId);
    this.beforePublish?.();
    const refusal = this.refusals.shift();
    if (refusal !== undefined) {
      refuse(response, refusal);
      return;
    }
    const result = this.accept(request);
    if (this.answersToLose > 0) {
      this.answersToLose -= 1;
      response.destroy();
      return;
    }
    const accepted = result.outcome === control.CommandResultKind.PublishAccepted;
    response.writeHead(accepted ? 200 : 409).end(JSON.stringify(result));
  }

  private read(path: command.OperatorPath): unknown {
    const { revision } = this.snapshot;
    const documents = [...this.snapshot.documents.values()];
    const contentHash = configuration.contentHash(documents);
    const self = { daemonId: 'entry-1', zone: 'pl-caudan', address: '127.0.0.1:1', revision };
    const daemons = [{ ...self, connected: true, millisecondsSinceHeard: 0 }, ...this.peers];
    switch (path) {
      case command.OperatorPath.Configuration:
        return { revision, contentHash, documents };
      case command.OperatorPath.History:
        return { entries: this.history };
      case command.OperatorPath.Revisions:
        return { daemons };
      default:
        return {
          ...self,
          region: 'port-louis',
          ready: true,
          shuttingDown: false,
          uptimeMilliseconds: 1,
          contentHash,
          control: { role: control.ReplicaRole.Leader, term: 3, commitIndex: 9, voters: ['a'] },
          daemons,
          queuedRequests: 0,
          runningRequests: 2,
          backendServers: [{ service: 'sack-ledger', eligible: 3, suspected: 0 }],
        };
    }
  }
}

function refuse(response: http.ServerResponse, code: command.OperatorErrorCode): void {
  response
    .writeHead(command.ERROR_STATUS[code])
    .end(JSON.stringify({ code, message: `refused with ${code}`, problems: [] }));
}
