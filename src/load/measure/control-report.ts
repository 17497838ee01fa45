import type * as controlMeasurement from './control-measurement';
import type * as controlPoint from './control-point';
import * as leastSquares from './least-squares';

type Measure = (point: controlPoint.ControlPoint) => number;

/** The figures in the report of each dimension. */
const MEASURES: Readonly<Record<string, Measure>> = {
  'daemon CPU %': (point) => point.daemon.cpuPercent,
  'daemon resident MB': (point) => point.daemon.residentMegabytes,
  'daemon link B/s': (point) => point.daemon.linkBytesPerSecond,
  'daemon backend B/s': (point) => point.backendBytesPerSecond,
  'backend connects/s': (point) => point.backendConnectionsPerSecond,
  'leader CPU %': (point) => point.leader.cpuPercent,
  'leader link B/s': (point) => point.leader.linkBytesPerSecond,
  'leader resident MB': (point) => point.leader.residentMegabytes,
  'follower CPU %': (point) => point.follower.cpuPercent,
  'follower link B/s': (point) => point.follower.linkBytesPerSecond,
  'follower resident MB': (point) => point.follower.residentMegabytes,
  'proposer CPU %': (point) => point.proposer.cpuPercent,
  'proposer link B/s': (point) => point.proposer.linkBytesPerSecond,
};

/** Formats the medians at each value of one dimension and the line fitted to them. */
export function formatDimension(points: readonly controlMeasurement.DimensionPoint[]): string {
  const values = [...new Set(points.map(({ value }) => value))];
  const heading = `${points[0].dimension} (${points.length / values.length} rounds)`;
  const failed = points.reduce((sum, { point }) => sum + point.failedProposals, 0);
  const rows = Object.entries(MEASURES).map(([name, measure]) => {
    const medians = values.map((value) =>
      leastSquares.median(
        points.filter((point) => point.value === value).map(({ point }) => measure(point)),
      ),
    );
    const line = leastSquares.fitLine(values.map((x, index) => ({ x, y: medians[index] })));
    const fit = `slope ${formatNumber(line.slope)}, at 0 ${formatNumber(line.intercept)}, residual ${formatNumber(line.largestResidual)}`;
    return `  ${name.padEnd(22)}${medians.map((value) => formatNumber(value).padStart(10)).join('')}   ${fit}`;
  });
  const header = `  ${''.padEnd(22)}${values.map((value) => String(value).padStart(10)).join('')}`;
  return [heading, header, ...rows, `  failed proposals: ${failed}`, ''].join('\n');
}

const SIGNIFICANT_DIGITS = 3;

function formatNumber(value: number): string {
  return Math.abs(value) >= 1_000 ? value.toFixed(0) : value.toPrecision(SIGNIFICANT_DIGITS);
}
