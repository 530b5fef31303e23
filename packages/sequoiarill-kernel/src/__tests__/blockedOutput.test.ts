import { spawn } from 'node:child_process';
import { once } from 'node:events';
import path from 'node:path';
import { describe, it } from 'node:test';

import { expect } from 'earl';

const KERNEL_PATH = path.join(__dirname, '..', 'index.js');
/**
 * Logs far more than the pipe and the buffer hold, then reports the memory growth on standard
 * error.
 */
const WRITER_SCRIPT = `
const kernel = require(${JSON.stringify(KERNEL_PATH)});
const event = kernel.defineEvent(9000, 'info', 'test.line', 'A line.');
const logger = kernel.createLogger('writer', 'info');
const before = process.memoryUsage().rss;
for (let line = 0; line < 200000; line += 1) logger.logEvent(event, { text: 'x'.repeat(500) });
setImmediate(() => {
  process.stderr.write(JSON.stringify({ grownBytes: process.memoryUsage().rss - before }));
});
`;

describe('logger with a blocked output', () => {
  it('drops lines beyond its buffer and does not block the process', async () => {
    // Guards against a log collector that stops reading during a burst of failures: blocking writes
    // would stop every request of the process, and an unbounded buffer would exhaust its memory.
    const child = spawn(process.execPath, ['-e', WRITER_SCRIPT], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const [text] = (await once(child.stderr, 'data')) as [Buffer];
    const { grownBytes } = JSON.parse(text.toString()) as { readonly grownBytes: number };
    // The lines amount to 120 MB and the buffer holds 1 MB; the rest of the limit allows for
    // garbage of the loop.
    expect(grownBytes).toBeLessThan(80_000_000);
    child.kill('SIGKILL');
    await once(child, 'close');
  });
});
