import * as backend from '../backend';
import * as clock from '../clock';
import * as emulatedServer from './emulated-server';
import * as receivedRequest from './received-request';
import * as wholeAnswer from './whole-answer';

/** Store of exported KV cache at `/kept/<team>/<weights version>/<chain hash>`. */
export class EmulatedCacheStore extends emulatedServer.EmulatedServer {
  /** Not cleared by a crash, since the emulated store is on disk. */
  private readonly blocks = new Map<string, Buffer>();

  constructor(time: clock.Clock = new clock.SystemClock()) {
    super(time);
  }

  protected override async handle(
    request: receivedRequest.ReceivedRequest,
  ): Promise<wholeAnswer.WholeAnswer> {
    if (!PATH.test(request.path)) {
      return { status: 404, body: { error: { code: 'unknown_path' } } };
    }
    const team = decodeURIComponent(request.path.split('/')[2]);
    if (team !== receivedRequest.header(request, backend.HeaderName.Team)) {
      return wholeAnswer.refusal(403, 'other_team');
    }
    if (request.method === 'PUT') {
      this.blocks.set(request.path, request.body);
      return { status: 201, body: { bytes: request.body.length } };
    }
    const block = this.blocks.get(request.path);
    return block === undefined
      ? { status: 404, body: { error: { code: 'not_kept' } } }
      : { status: 200, body: block };
  }
}

const PATH = /^\/kept\/[^/]+\/[^/]+\/[^/]+$/;
