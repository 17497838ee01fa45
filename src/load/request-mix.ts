import type * as clock from '../clock';
import * as loadRequest from './load-request';

/** Composition of the load. Token counts are estimates at 4 characters a token. */
export interface MixOptions {
  /** Routing intent, sent as `model`. */
  readonly model: string;
  readonly outputTokens: number;
  /** Share of plain requests among all, from 0 to 1. */
  readonly plainShare: number;
  readonly plainPath: string;
  readonly preambleTokens: number;
  readonly rulesTokens: number;
  readonly historyTokens: number;
  /** Different second levels of prefixes. */
  readonly tenants: number;
  /** Different third levels below each second level. */
  readonly historiesPerTenant: number;
}

/**
 * Composes requests whose prompts share nested prefixes of three levels: one preamble for all, the rules of a
 * tenant, and one history. Each request has a new question at the end.
 *
 * @example
 * const request = new RequestMix(options, random).next();
 */
export class RequestMix {
  private readonly preamble: string;

  private readonly rules: readonly string[];

  private readonly histories = new Map<string, string>();

  private sent = 0;

  constructor(
    private readonly options: MixOptions,
    private readonly random: clock.RandomSource,
  ) {
    this.preamble = filler('preamble', options.preambleTokens);
    this.rules = Array.from({ length: options.tenants }, (_unused, tenant) =>
      filler(`rules ${tenant}`, options.rulesTokens),
    );
  }

  next(): loadRequest.LoadRequest {
    this.sent += 1;
    return this.random.uniform() < this.options.plainShare ? this.plain() : this.chat();
  }

  private plain(): loadRequest.LoadRequest {
    const { plainPath: path } = this.options;
    return { kind: loadRequest.LoadRequestKind.Plain, method: 'GET', path, body: '' };
  }

  private chat(): loadRequest.LoadRequest {
    const { model, outputTokens, tenants, historiesPerTenant } = this.options;
    const tenant = this.choose(tenants);
    const history = this.history(`${tenant}/${this.choose(historiesPerTenant)}`);
    const messages = [
      { role: 'system', content: this.preamble },
      { role: 'system', content: this.rules[tenant] },
      { role: 'user', content: history },
      { role: 'user', content: `Question ${this.sent}: which sack is due?` },
    ];
    const body = JSON.stringify({ model, messages, max_tokens: outputTokens, stream: true });
    const path = '/v1/chat/completions';
    return { kind: loadRequest.LoadRequestKind.Chat, method: 'POST', path, body };
  }

  /** Squaring makes low numbers more frequent, so that a few prefixes are popular. */
  private choose(count: number): number {
    return Math.floor(this.random.uniform() ** 2 * count);
  }

  private history(name: string): string {
    const text = this.histories.get(name) ?? filler(`history ${name}`, this.options.historyTokens);
    this.histories.set(name, text);
    return text;
  }
}

const CHARACTERS_PER_TOKEN = 4;

function filler(name: string, tokens: number): string {
  const characters = tokens * CHARACTERS_PER_TOKEN;
  const line = `${name}: sack returned with a torn seam. `;
  return line.repeat(Math.ceil(characters / line.length)).slice(0, characters);
}
