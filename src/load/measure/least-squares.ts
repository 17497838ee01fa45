/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line fitted to points, and the largest distance of a point from it. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance of a point from the line, in units of y. */
  readonly largestResidual: number;
}

/**
 * Least squares fit of a line. Points that all have the same x give a slope of 0.
 *
 * @example
 * fitLine([{ x: 1, y: 3 }, { x: 2, y: 5 }]); // { slope: 2, intercept: 1, largestResidual: 0 }
 */
export function fitLine(points: readonly Point[]): LineFit {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const variance = mean(points.map(({ x }) => (x - meanX) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(({ x, y }) => Math.abs(y - slope * x - intercept));
  return { slope, intercept, largestResidual: Math.max(...residuals) };
}

/** The middle value; the mean of both middle values for an even count. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const half = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
