import { spawn } from 'node:child_process';
import { once } from 'node:events';
import path from 'node:path';
import { describe, it } from 'node:test';

import { expect } from 'earl';

const KERNEL = path.join(__dirname, '..', 'index.js');
/** Writes far more than a pipe and the bound hold, then tells on standard error how it went. */
const WRITER = `
const kernel = require(${JSON.stringify(KERNEL)});
const event = kernel.defineEvent(9000, 'info', 'test.line', 'A line.');
const logger = kernel.createLogger('writer', 'info');
const before = process.memoryUsage().rss;
for (let line = 0; line < 200000; line += 1) logger.logEvent(event, { text: 'x'.repeat(500) });
setImmediate(() => {
  process.stderr.write(JSON.stringify({ grownBytes: process.memoryUsage().rss - before }));
});
`;

describe('logs to an output that nobody reads', () => {
  it('are dropped at a bound, and stop nothing', async () => {
    // Whoever collects the logs stops reading in the middle of a storm of failures. A write that waits
    // for the reader stops every request of the process; one that is kept grows without end.
    const child = spawn(process.execPath, ['-e', WRITER], { stdio: ['ignore', 'pipe', 'pipe'] });
    const [text] = (await once(child.stderr, 'data')) as [Buffer];
    const { grownBytes } = JSON.parse(text.toString()) as { readonly grownBytes: number };
    // The lines are 120 MB; the bound is 1 MB, beside what the loop itself leaves to be collected.
    expect(grownBytes).toBeLessThan(80_000_000);
    child.kill('SIGKILL');
    await once(child, 'close');
  });
});
