import type * as http from 'node:http';
import * as backend from '../backend';

/** One part of a prompt; requests whose prompts begin with the same parts share their KV cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller's headers say about its request. */
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
}

/** What the router tells a backend server about one attempt. */
export interface AttemptMetadata {
  readonly requestId: string;
  /** The server that is meant; another one at its address refuses. */
  readonly serverId: string;
  readonly team?: string;
  readonly remainingMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Cached parts are found only under the same text. */
  readonly cacheSalt?: string;
  /** A server with other weights refuses. */
  readonly weightsVersion?: string;
  /** `host:port` of the server or store to copy cached parts from. */
  readonly cacheSource?: string;
  /** `host:port` of the store that gets a copy of the parts. */
  readonly cacheStore?: string;
  /** Last event that was delivered, when a broken stream goes on. */
  readonly resumeAfter?: number;
}

/** Port for the header names of a platform; it translates and decides nothing. */
export abstract class HeaderCodec {
  abstract readCaller(headers: http.IncomingHttpHeaders): CallerMetadata;

  /** The headers of an attempt: what the caller may set, and what the router says. */
  abstract attemptHeaders(
    caller: http.IncomingHttpHeaders,
    facts: AttemptMetadata,
  ): Readonly<Record<string, string>>;

  abstract readAnswer(head: backend.HttpHead): backend.AnswerMetadata;
}
