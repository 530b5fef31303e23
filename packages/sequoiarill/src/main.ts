/** Entry point of the `sequoiarill` command. */
import * as Cli from './cli';

Cli.createProgram()
  .parseAsync(process.argv)
  .catch((error: unknown) => {
    process.stderr.write(`${(error as Error).message}\n`);
    process.exitCode = 1;
  });
