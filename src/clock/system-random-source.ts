import * as randomSource from './random-source';

/** Random numbers of the JavaScript engine; for jitter and sampling, not for secrets. */
export class SystemRandomSource extends randomSource.RandomSource {
  override uniform(): number {
    return Math.random();
  }
}
