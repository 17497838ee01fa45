import * as clock from '../clock';

/** The weight store that the engines of one process share; its rate is limited. */
export class WeightStore {
  private loads = 0;

  constructor(private readonly time: clock.Clock) {}

  get loadsInProgress(): number {
    return this.loads;
  }

  /** Resolves when a load is complete: after 0.4 s, proportionally later while more than 2 loads run. */
  async load(): Promise<void> {
    this.loads += 1;
    let done = 0;
    while (done < LOAD_MILLISECONDS) {
      await this.time.sleep(STEP_MILLISECONDS);
      done += STEP_MILLISECONDS / Math.max(1, this.loads / LOADS_AT_FULL_RATE);
    }
    this.loads -= 1;
  }
}

const LOAD_MILLISECONDS = 400;
const STEP_MILLISECONDS = 20;
const LOADS_AT_FULL_RATE = 2;
