/** Entry point of `npm start`. */
import * as Demos from './demo';
import * as Documents from './document';

const CALLER_ADDRESS = '127.0.0.1:8080';
const OPERATOR_ADDRESS = '127.0.0.1:8090';

async function runDemo(): Promise<void> {
  const demo = await Demos.startDemo({ callers: CALLER_ADDRESS, operators: OPERATOR_ADDRESS });
  const stop = () => {
    process.stdout.write('stopping\n');
    demo.stop().catch(() => {
      process.exitCode = 1;
    });
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  const body = { model: Documents.MODEL, input: 'Which size fits me?', stream: true };
  process.stdout.write(
    [
      `sequoiarill listens on http://${CALLER_ADDRESS}, for operators on http://${OPERATOR_ADDRESS}.`,
      'Stream an answer:',
      '',
      `curl -N http://${CALLER_ADDRESS}/v1/responses \\`,
      `  -H 'Authorization: Bearer ${demo.apiKey}' \\`,
      "  -H 'Content-Type: application/json' \\",
      `  -d '${JSON.stringify(body)}'`,
      '',
      'Ctrl-C stops it; a second terminal can see its state:',
      `npx sequoiarill state --at ${OPERATOR_ADDRESS}`,
      '',
    ].join('\n'),
  );
}

runDemo().catch((error: unknown) => {
  process.stderr.write(`sequoiarill can't start: ${(error as Error).message}\n`);
  process.exitCode = 1;
});
