/** Starts daemons as separate processes and reads the addresses that they log. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';

export type DaemonKind = 'router' | 'platform' | 'engine' | 'service';

/** Values by section and key. */
export type IniSettings = Readonly<Record<string, Readonly<Record<string, string | number>>>>;

export interface Daemon {
  readonly pid: number;
  /** The logged addresses by the name of their event. */
  readonly addresses: ReadonlyMap<string, string>;
  /** Processor time used so far, in milliseconds. */
  readonly getCpuMs: () => number;
  /** Resident memory, in bytes. */
  readonly getMemoryBytes: () => number;
  readonly send: (signal: NodeJS.Signals) => void;
  /** Sends the signal and waits for the exit; returns the exit code, or null after a signal. */
  readonly stop: (signal?: NodeJS.Signals) => Promise<number | null>;
  readonly getLog: () => readonly string[];
}

/** Linux accounts processor time in ticks of 1/100 s on all common configurations. */
const MS_PER_TICK = 10;
const PAGE_BYTES = 4_096;
/** Positions of fields after the closing parenthesis of the command in `/proc/PID/stat`. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;
const RESIDENT_PAGES_FIELD = 21;
const MAX_LOG_LINES = 2_000;
const START_TIMEOUT_MS = 30_000;

export function formatIni(settings: IniSettings): string {
  const lines = Object.entries(settings).flatMap(([section, keys]) => [
    `[${section}]`,
    ...Object.entries(keys).map(([key, value]) => `${key} = ${value}`),
  ]);
  return `${lines.join('\n')}\n`;
}

function listArguments(kind: DaemonKind, file: string): readonly string[] {
  const isRouter = kind === 'router';
  const binary = isRouter
    ? require.resolve('sequoiarill/bin/sequoiarill.js')
    : require.resolve('@sequoiarill/standins/bin/sequoiarill-standin.js');
  return [binary, kind, '--settings', file];
}

function readStat(pid: number): readonly number[] {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  return text
    .slice(text.lastIndexOf(')') + 2)
    .split(' ')
    .map(Number);
}

/**
 * Starts a daemon and waits until it has logged each of the named events, such as `callers.listening`,
 * with its address if it has one. Stand-ins print their address without a name, so theirs is ''.
 * Rejects with the daemon's output if it exits before that.
 */
export async function startDaemon(
  kind: DaemonKind,
  settings: IniSettings,
  addressNames: readonly string[],
): Promise<Daemon> {
  const folder = mkdtempSync(path.join(tmpdir(), 'sequoiarill-'));
  const file = path.join(folder, `${kind}.ini`);
  writeFileSync(file, formatIni(settings));
  try {
    return await startProgram(listArguments(kind, file), addressNames);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

/** Starts any Node.js program that prints its addresses as daemons do. */
export async function startProgram(
  programArguments: readonly string[],
  addressNames: readonly string[],
): Promise<Daemon> {
  const child = spawn(process.execPath, programArguments, { stdio: ['ignore', 'pipe', 'pipe'] });
  const exited = once(child, 'exit');
  const log: string[] = [];
  const addresses = await readAddresses(child, addressNames, log);
  return createDaemon(child, exited, addresses, log);
}

async function readAddresses(
  child: ChildProcess,
  names: readonly string[],
  log: string[],
): Promise<ReadonlyMap<string, string>> {
  const addresses = new Map<string, string>();
  createInterface({ input: child.stderr! }).on('line', (line) => log.push(line));
  const lines = createInterface({ input: child.stdout! });
  await new Promise<void>((resolve, reject) => {
    // Without a timeout a daemon that never logs the expected events would block its test silently.
    const timeout = setTimeout(() => {
      child.kill('SIGKILL');
      reject(
        new Error(`missing ${names.join(', ')} after ${START_TIMEOUT_MS} ms:\n${log.join('\n')}`),
      );
    }, START_TIMEOUT_MS);
    child.once('exit', () => {
      clearTimeout(timeout);
      reject(new Error(`the daemon exited during its start:\n${log.join('\n')}`));
    });
    lines.on('line', (line) => {
      if (log.length < MAX_LOG_LINES) log.push(line);
      const record = parseLine(line);
      if (record === undefined) return;
      addresses.set(record.name ?? '', record.address ?? '');
      if (!names.every((name) => addresses.has(name))) return;
      clearTimeout(timeout);
      resolve();
    });
  });
  return addresses;
}

interface LogRecord {
  readonly name?: string;
  readonly address?: string;
}

function parseLine(line: string): LogRecord | undefined {
  try {
    return JSON.parse(line) as LogRecord;
  } catch {
    return undefined;
  }
}

function createDaemon(
  child: ChildProcess,
  exited: Promise<unknown[]>,
  addresses: ReadonlyMap<string, string>,
  log: readonly string[],
): Daemon {
  const pid = child.pid!;
  return {
    pid,
    addresses,
    getCpuMs() {
      const stat = readStat(pid);
      return (stat[USER_TICKS_FIELD]! + stat[SYSTEM_TICKS_FIELD]!) * MS_PER_TICK;
    },
    getMemoryBytes: () => readStat(pid)[RESIDENT_PAGES_FIELD]! * PAGE_BYTES,
    send: (signal) => {
      child.kill(signal);
    },
    async stop(signal = 'SIGTERM') {
      if (child.exitCode === null && child.signalCode === null) child.kill(signal);
      await exited;
      return child.exitCode;
    },
    getLog: () => log,
  };
}
