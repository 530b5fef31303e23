/** Least-squares fit through measured points. */

export interface Slope {
  readonly perUnit: number;
  readonly intercept: number;
  /** Standard error of the slope: about two thirds of repeated runs lie within it. */
  readonly standardError: number;
}

export function computeSlope(points: readonly (readonly [number, number])[]): Slope {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const squares = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const products = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const perUnit = products / squares;
  const intercept = meanY - perUnit * meanX;
  const residuals = points.reduce((sum, [x, y]) => sum + (y - intercept - perUnit * x) ** 2, 0);
  const standardError = count > 2 ? Math.sqrt(residuals / (count - 2) / squares) : Number.NaN;
  return { perUnit, intercept, standardError };
}
