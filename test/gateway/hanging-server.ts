import * as results from 'ts-results';
import * as backend from '../../src/backend';
import * as clock from '../../src/clock';
import * as verdict from '../../src/verdict';

const { FailureReason, Verdict } = verdict;

const TIMED_OUT = verdict.failure(FailureReason.Timeout, Verdict.MayHaveRun, 'No answer.');

/** Where a server records what it was told, and its clock. */
export interface HangingServerRecords {
  readonly time: clock.Clock;
  /** Requests that reached a server. */
  readonly requests: backend.RelayRequest[];
  /** Reservations that were given back. */
  readonly released: string[];
}

/** A server that never answers a request. */
export class HangingServer extends backend.RelayServer {
  constructor(private readonly records: HangingServerRecords) {
    super();
  }

  override relay(
    request: backend.RelayRequest,
    receiver: backend.RelayReceiver,
  ): backend.RelayHandle {
    const { requests, time } = this.records;
    requests.push(request);
    time.setTimer(request.timeoutMilliseconds, () => receiver.onFailure(TIMED_OUT, undefined));
    return { pause: () => {}, resume: () => {}, cancel: () => {}, reject: () => {} };
  }

  override async order(): Promise<results.Err<verdict.RequestFailure>> {
    return new results.Err(TIMED_OUT);
  }

  override async reserve(): Promise<results.Ok<string>> {
    return new results.Ok(RESERVATION);
  }

  override async release(reservation: string): Promise<void> {
    this.records.released.push(reservation);
  }

  override async probe(): Promise<results.Err<verdict.RequestFailure>> {
    return new results.Err(TIMED_OUT);
  }

  override async probeOnOpenConnection(): Promise<results.Err<verdict.RequestFailure>> {
    return new results.Err(TIMED_OUT);
  }

  override async close(): Promise<void> {}
}

export const RESERVATION = 'hold-1';
