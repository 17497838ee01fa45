import * as fastCheck from 'fast-check';

/**
 * Runs a check on many values, the same ones in each run.
 *
 * @throws with the failing value and the failed assertion
 *
 * @example
 * holdsFor(fastCheck.nat(), (value) => assert.ok(value >= 0));
 */
export function holdsFor<Value>(
  values: fastCheck.Arbitrary<Value>,
  check: (value: Value) => void,
  runs = RUNS,
): void {
  const property = fastCheck.property(values, check);
  report(fastCheck.check(property, { seed: SEED, numRuns: runs }));
}

/** As `holdsFor`, for a check that returns a promise. */
export async function holdsEventuallyFor<Value>(
  values: fastCheck.Arbitrary<Value>,
  check: (value: Value) => Promise<void>,
  runs = RUNS,
): Promise<void> {
  const property = fastCheck.asyncProperty(values, check);
  report(await fastCheck.check(property, { seed: SEED, numRuns: runs }));
}

/** The message of `fastCheck.assert` does not tell which assertion failed. */
function report<Value>(details: fastCheck.RunDetails<Value>): void {
  if (details.failed) {
    const { counterexample, errorInstance, seed, counterexamplePath } = details;
    const failed = errorInstance instanceof Error ? errorInstance.message : String(errorInstance);
    throw new Error(
      `${failed}\nfor the value ${fastCheck.stringify(counterexample)} (seed ${seed}, path ${counterexamplePath})`,
    );
  }
}

const SEED = 20_261_205;

const RUNS = 300;
