import * as results from 'ts-results';
import * as backend from '../backend';
import * as clock from '../clock';
import * as verdict from '../verdict';

/** Id of the reservation; `undefined` if the server cannot reserve room. */
type Reservation = results.Result<string | undefined, verdict.RequestFailure>;

/**
 * Asks a server to keep room for a request that follows at once. A failure means that the request must not be sent: the server
 * has no room, or did not answer in time; a reservation that it makes later is released.
 *
 * @param tokens tokens of the prompt and of the longest answer
 * @example
 * const reservation = await reserveRoom(server, 4_000, time);
 */
export async function reserveRoom(
  server: backend.RelayServer,
  tokens: number,
  time: clock.Clock,
): Promise<Reservation> {
  const reserved = server.reserve({ tokens, milliseconds: RESERVATION_MILLISECONDS });
  const inTime = await Promise.race([
    reserved,
    time.sleep(ANSWER_MILLISECONDS).then(() => undefined),
  ]);
  if (inTime === undefined) {
    releaseLater(server, reserved);
    return new results.Err(LATE);
  }
  // Whatever became of the reservation, the request itself was not sent.
  return inTime.mapErr((failure) => ({ ...failure, verdict: verdict.Verdict.NotRun }));
}

async function releaseLater(
  server: backend.RelayServer,
  reserved: Promise<Reservation>,
): Promise<void> {
  const late = await reserved;
  if (late.ok && late.val !== undefined) {
    await server.release(late.val);
  }
}

/** Above the time in which a request reaches a server in another region. */
const RESERVATION_MILLISECONDS = 500;

/** Several round trips to another region; a stream whose own server fails meanwhile waits for this answer. */
const ANSWER_MILLISECONDS = 150;

const LATE = verdict.failure(
  verdict.FailureReason.Overloaded,
  verdict.Verdict.NotRun,
  'The backend server did not say in time whether it has room.',
);
