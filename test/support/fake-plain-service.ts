import * as results from 'ts-results';
import * as backend from '../../src/backend';
import * as verdict from '../../src/verdict';

/** A plain service that records requests and fails with the given failures before it answers. */
export class FakePlainService extends backend.PlainService {
  readonly requests: backend.PlainRequest[] = [];

  constructor(readonly failures: verdict.RequestFailure[] = []) {
    super();
  }

  override async call(
    request: backend.PlainRequest,
  ): Promise<results.Result<backend.PlainAnswer, verdict.RequestFailure>> {
    this.requests.push(request);
    const failure = this.failures.shift();
    return failure === undefined
      ? new results.Ok({
          status: 201,
          headers: { 'content-type': 'text/plain' },
          body: Buffer.from(`execution ${this.requests.length}`),
        })
      : new results.Err(failure);
  }

  override async load(): Promise<results.Result<backend.LoadReport, verdict.RequestFailure>> {
    return new results.Err(UNAVAILABLE);
  }

  override async probe(): Promise<results.Result<backend.ProbeReport, verdict.RequestFailure>> {
    return new results.Ok({ incarnation: 'a', weightsVersion: '', leaving: false });
  }

  override async close(): Promise<void> {}
}

const UNAVAILABLE = verdict.failure(
  verdict.FailureReason.ConnectFailed,
  verdict.Verdict.NotRun,
  'The fake service does not offer this.',
);
