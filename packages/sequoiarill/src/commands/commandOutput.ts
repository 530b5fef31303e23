/** Output streams and exit code of a command; replaceable in tests. */

export interface CommandOutput {
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
  readonly setExitCode: (code: number) => void;
}

export function createProcessOutput(): CommandOutput {
  return {
    print: (text) => {
      process.stdout.write(`${text}\n`);
    },
    printError: (text) => {
      process.stderr.write(`error: ${text}\n`);
    },
    setExitCode: (code) => {
      process.exitCode = code;
    },
  };
}
