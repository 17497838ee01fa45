import type * as deployment from './deployment';

/** How a measured value is compared with its target. */
export enum Comparison {
  AtLeast = 'at-least',
  AtMost = 'at-most',
  /** Reported without a target. */
  None = 'none',
}

/** One measured value of a case. */
export interface Figure {
  readonly measure: string;
  readonly value: number;
  readonly comparison: Comparison;
  /** The target of section 9 of docs/design.md, never a measured value. */
  readonly bound: number;
  /** The values from which `value` is computed, and the same figure of the baselines. */
  readonly details: Readonly<Record<string, number>>;
}

/** One scenario of section 9 of the design page. */
export abstract class BenchCase {
  abstract readonly name: string;

  abstract run(cluster: deployment.Deployment, seed: number): Figure[];
}

/** Whether a figure meets its target. */
export function isMet(figure: Figure): boolean {
  switch (figure.comparison) {
    case Comparison.AtLeast:
      return figure.value >= figure.bound;
    case Comparison.AtMost:
      return figure.value <= figure.bound;
    default:
      return true;
  }
}

export function atLeast(
  measure: string,
  value: number,
  bound: number,
  details: Readonly<Record<string, number>> = {},
): Figure {
  return { measure, value, comparison: Comparison.AtLeast, bound, details };
}

export function atMost(
  measure: string,
  value: number,
  bound: number,
  details: Readonly<Record<string, number>> = {},
): Figure {
  return { measure, value, comparison: Comparison.AtMost, bound, details };
}

export function reported(
  measure: string,
  value: number,
  details: Readonly<Record<string, number>> = {},
): Figure {
  return { measure, value, comparison: Comparison.None, bound: 0, details };
}
