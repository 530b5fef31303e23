/** Prints the result of a measurement as JSON or as tables. */

export type Result = Readonly<Record<string, unknown>>;

export function printResult(result: Result): void {
  if (process.argv.includes('--json')) {
    process.stdout.write(`${JSON.stringify(result)}\n`);
    return;
  }
  for (const [name, value] of Object.entries(result)) {
    if (Array.isArray(value)) {
      process.stdout.write(`${name}:\n`);
      console.table(value);
    } else process.stdout.write(`${name}: ${JSON.stringify(value)}\n`);
  }
}

/** Runs a measurement and prints its result; prints a failure and sets the exit code. */
export function runBench(measure: () => Promise<Result>): void {
  measure()
    .then(printResult)
    .catch((error: unknown) => {
      process.stderr.write(`${(error as Error).stack ?? String(error)}\n`);
      process.exitCode = 1;
    });
}

export function computeRounded(value: number, digits = 2): number {
  const factor = 10 ** digits;
  return Math.round(value * factor) / factor;
}
