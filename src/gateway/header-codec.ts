import type * as http from 'node:http';
import * as backend from '../backend';

/** One part of a prompt; requests whose prompts begin with the same parts share their KV cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Metadata of a request from the headers of its caller. */
export interface CallerMetadata {
  /** Chosen by the caller, new for each of its attempts. */
  readonly requestId?: string;
  readonly credential?: string;
  /** How long the caller waits. */
  readonly waitMilliseconds?: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly parts: readonly PromptPart[];
  /** Last event of a broken stream that the caller has received. */
  readonly lastEventId?: number;
  /** Set if the caller names a last event that cannot be read, which is not the same as none. */
  readonly hasInvalidLastEventId?: true;
  /** Id of the caller's earlier request that brought the first event of the broken stream. */
  readonly resumes?: string;
}

/** Metadata of one attempt that the router sends to the backend server. */
export interface AttemptMetadata {
  readonly requestId: string;
  /** The intended server; a different one at the same address refuses. */
  readonly serverId: string;
  readonly team?: string;
  readonly remainingMilliseconds: number;
  /** 0 is the most urgent; absent for a server that has no ranks. */
  readonly priority?: number;
  /** Cached prompt parts match only requests with the same salt; an absent one would be common to all callers. */
  readonly cacheSalt: string;
  /** The required weights version; a server with other weights refuses. */
  readonly weightsVersion?: string;
  /** `host:port` of the server or store to copy cached parts from. */
  readonly cacheSource?: string;
  /** `host:port` of the store that gets a copy of the parts. */
  readonly cacheStore?: string;
  /** Reserved room at the server, if there is any. */
  readonly reservation?: string;
  /** Id of the last delivered event, if a broken stream is resumed. */
  readonly resumeAfter?: number;
}

/** What has changed since a caller has sent its request. */
export interface ForwardedProgress {
  readonly remainingMilliseconds: number;
  /** Last event that the caller has received. */
  readonly lastEventId?: number;
  /** Id of the attempt of the caller that brought the first event. */
  readonly resumes?: string;
}

/** Translates between the headers of a platform and the router's types; it makes no decisions. */
export abstract class HeaderCodec {
  abstract readCaller(headers: http.IncomingHttpHeaders): CallerMetadata;

  /** The headers of an attempt: those that the caller may set, and those of the router. */
  abstract attemptHeaders(
    caller: http.IncomingHttpHeaders,
    metadata: AttemptMetadata,
  ): Readonly<Record<string, string>>;

  /** The headers of a request that another gateway runs: those of the caller, with what has changed since. */
  abstract forwardHeaders(
    caller: http.IncomingHttpHeaders,
    metadata: ForwardedProgress,
  ): Readonly<Record<string, string>>;

  abstract readAnswer(head: backend.HttpHead): backend.AnswerMetadata;
}
