/** Starts one router of the users' platform as a separate process. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import * as ReadLine from 'node:readline';

export interface LogLine {
  readonly name?: string;
  readonly [field: string]: unknown;
}

export interface RunningRouter {
  readonly process: ChildProcess;
  readonly address: string;
  readonly readinessAddress: string;
  readonly lines: readonly LogLine[];
  readonly waitForLine: (isWanted: (line: LogLine) => boolean) => Promise<LogLine>;
  readonly exited: Promise<number | null>;
}

export interface StartedRouter extends RunningRouter {
  /** Resolves when the router accepts requests. */
  readonly start: Promise<void>;
}

/** Starts the compiled program `daemon` with `settings`, the text of an INI file. */
export function startUserRouter(
  daemon: string,
  settings: string,
  nodeArguments: readonly string[] = [],
): StartedRouter {
  const folder = mkdtempSync(path.join(tmpdir(), 'sequoiarill-'));
  const file = path.join(folder, 'router.ini');
  writeFileSync(file, settings);
  const child = spawn(process.execPath, [...nodeArguments, daemon], {
    env: { ...process.env, SEQUOIARILL_CONFIG: file },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  // The child is killed when this process exits, so that no router outlives a test.
  const killChild = () => child.kill('SIGKILL');
  process.once('exit', killChild);
  const lines: LogLine[] = [];
  const waiters = new Set<(line: LogLine) => void>();
  const addresses = { address: '', readinessAddress: '' };

  function addLine(line: LogLine): void {
    lines.push(line);
    waiters.forEach((check) => check(line));
  }

  const exited = new Promise<number | null>((resolve) => {
    child.once('close', (code) => {
      process.off('exit', killChild);
      rmSync(folder, { recursive: true });
      resolve(code);
    });
  });
  ReadLine.createInterface({ input: child.stdout }).on('line', (text) => {
    addLine(JSON.parse(text) as LogLine);
  });
  ReadLine.createInterface({ input: child.stderr }).on('line', (text) => {
    addLine({ name: 'stderr', text });
  });

  async function waitForLine(isWanted: (line: LogLine) => boolean): Promise<LogLine> {
    const existing = lines.find(isWanted);
    if (existing !== undefined) return existing;
    return new Promise((resolve, reject) => {
      const check = (line: LogLine) => {
        if (!isWanted(line)) return;
        waiters.delete(check);
        resolve(line);
      };
      waiters.add(check);
      exited.then(() => reject(new Error('the router has exited'))).catch(() => undefined);
    });
  }

  async function readAddresses(): Promise<void> {
    const line = await waitForLine(({ name }) => name === 'forwarding.listening');
    addresses.address = String(line.listen);
    addresses.readinessAddress = String(line.readinessListen);
    await waitForLine(({ name }) => name === 'forwarding.ready');
  }

  return {
    process: child,
    get address() {
      return addresses.address;
    },
    get readinessAddress() {
      return addresses.readinessAddress;
    },
    lines,
    waitForLine,
    exited,
    start: readAddresses(),
  };
}
