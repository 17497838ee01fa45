import type * as http from 'node:http';
import * as verdict from '../verdict';

/** Headers between gateways; no caller and no backend server gets them. */
export enum ForwardHeader {
  /** Id of the forwarded request, echoed in each answer. */
  Id = 'figline-forward',
  /** Version of the routing document by which the first gateway has chosen the route. */
  RoutingVersion = 'figline-forward-routing',
  /** Attempts of the request that may have run before it was forwarded. */
  Runs = 'figline-forward-runs',
  /** Verdict of a failure that the second gateway itself answers with. */
  Verdict = 'figline-forward-verdict',
}

/** What a gateway tells another one beside the request of its caller. */
export interface ForwardMetadata {
  readonly id: string;
  readonly routingVersion: number;
  readonly runs: number;
  /**
   * Attempts that may have reached a server before. Absent if no gateway has counted the request towards the limit of retries,
   * and in requests of releases that did not tell it.
   */
  readonly sends?: number;
}

/**
 * The headers of a forwarded request.
 *
 * @example
 * forwardHeaders({ id: 'request-1#2', routingVersion: 7, runs: 0 });
 */
export function forwardHeaders(metadata: ForwardMetadata): Readonly<Record<string, string>> {
  return {
    [ForwardHeader.Id]: metadata.id,
    [ForwardHeader.RoutingVersion]: String(metadata.routingVersion),
    [ForwardHeader.Runs]: String(metadata.runs),
  };
}

/** The metadata of a forwarded request; `undefined` if the headers are missing or malformed. */
export function readForwarded(headers: http.IncomingHttpHeaders): ForwardMetadata | undefined {
  const id = headers[ForwardHeader.Id];
  const routingVersion = Number(headers[ForwardHeader.RoutingVersion] ?? NaN);
  const runs = Number(headers[ForwardHeader.Runs] ?? NaN);
  return typeof id === 'string' && Number.isInteger(routingVersion) && Number.isInteger(runs)
    ? { id, routingVersion, runs, ...sendsIn(id) }
    : undefined;
}

/**
 * The id under which a request is forwarded. It also tells the attempts that may have reached a server: gateways of releases that
 * do not read them echo it like any other id, whereas they would pass an unknown header on to a server.
 *
 * @param requestId unique id of the router, which ends with `#` and a number
 * @example
 * forwardId('request-1#2', 1); // 'request-1#2~1'
 */
export function forwardId(requestId: string, sends: number | undefined): string {
  return sends === undefined ? requestId : `${requestId}~${sends}`;
}

function sendsIn(id: string): Pick<ForwardMetadata, 'sends'> {
  const sends = /#\d+~(\d{1,6})$/.exec(id)?.[1];
  return sends === undefined ? {} : { sends: Number(sends) };
}

/** Whether the answer of another gateway is its own refusal, so that the request has not run. */
export function isRefusal(status: number, headers: Readonly<Record<string, string>>): boolean {
  return status === 503 && headers[ForwardHeader.Verdict] === verdict.Verdict.NotRun;
}

/** Names of all headers between gateways. */
export const FORWARD_HEADERS: readonly string[] = Object.values(ForwardHeader);
