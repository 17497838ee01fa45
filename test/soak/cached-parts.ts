/** Who made a cached prompt part, when, and with which weights. */
export interface CachedPart {
  /** Request that made it, and the engine where it ran. */
  readonly id: string;
  readonly engine: string;
  readonly team: string;
  readonly weightsVersion: number;
  /** Monotonic time in milliseconds. */
  readonly madeAt: number;
}

/** The cached prompt parts of one engine, found by salt and by all parts up to them. */
export class CachedParts {
  private readonly parts = new Map<string, CachedPart>();

  /**
   * Finds the parts of a prompt that are cached, and caches the others as made by this request.
   *
   * @param source engine to copy from what is missing here
   * @example
   * cache.use('3.desk', ['aa:100', 'bb:10'], part); // [] the first time, then two parts
   */
  use(
    salt: string,
    prompt: readonly string[],
    made: CachedPart,
    source?: CachedParts,
  ): readonly CachedPart[] {
    const keys = prompt.map((_part, index) => `${salt}|${prompt.slice(0, index + 1).join(',')}`);
    const found = keys.map((key) => this.parts.get(key) ?? source?.parts.get(key));
    const missing = found.indexOf(undefined);
    const used = found.slice(0, missing < 0 ? found.length : missing) as CachedPart[];
    keys.forEach((key, index) => this.parts.set(key, used[index] ?? made));
    return used;
  }

  clear(): void {
    this.parts.clear();
  }
}
