/** Result of the events in one chunk of a stream. */
export interface StreamProgress {
  /** Pieces with generated text. */
  readonly tokens: number;
  /** Whether the chunk completed the end marker. */
  readonly ended: boolean;
  /** Whether the stream ended with an error event. */
  readonly failed: boolean;
}

/**
 * Counts the pieces of a server-sent event stream of the chat completions API. Comment lines and named
 * events other than errors are skipped, so that the streams of a daemon and of an engine count alike.
 */
export class StreamParser {
  private rest = '';

  push(chunk: string): StreamProgress {
    const blocks = `${this.rest}${chunk}`.split('\n\n');
    this.rest = blocks.pop() ?? '';
    return {
      tokens: blocks.filter(isToken).length,
      ended: blocks.some((block) => dataOf(block) === END_MARKER),
      failed: blocks.some(isError),
    };
  }
}

const END_MARKER = '[DONE]';

function dataOf(block: string): string {
  const start = block.startsWith('data: ') ? 0 : block.indexOf('\ndata: ') + 1;
  return block.startsWith('data: ', start) ? block.slice(start + 'data: '.length) : '';
}

function isToken(block: string): boolean {
  const data = dataOf(block);
  return !block.startsWith('event: ') && data.includes('"content":');
}

function isError(block: string): boolean {
  return block.startsWith('event: error') || dataOf(block).startsWith('{"error"');
}
