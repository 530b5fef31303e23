/** Linear fits through measured points, with their spread. */

export interface Point {
  readonly size: number;
  readonly value: number;
}

export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination: the share of the variance that the line explains. */
  readonly r2: number;
  /** Largest distance of a point from the line, as a share of the largest value. */
  readonly spread: number;
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Fits a line by least squares. */
export function computeFit(points: readonly Point[]): Fit {
  const meanSize = computeMean(points.map(({ size }) => size));
  const meanValue = computeMean(points.map(({ value }) => value));
  let covariance = 0;
  let variance = 0;
  let total = 0;
  for (const { size, value } of points) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
    total += (value - meanValue) ** 2;
  }
  const slope = covariance / variance;
  const intercept = meanValue - slope * meanSize;
  const distances = points.map(({ size, value }) => Math.abs(value - (intercept + slope * size)));
  const residual = distances.reduce((sum, distance) => sum + distance ** 2, 0);
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)));
  return {
    slope,
    intercept,
    r2: total === 0 ? 1 : 1 - residual / total,
    spread: largest === 0 ? 0 : Math.max(...distances) / largest,
  };
}
