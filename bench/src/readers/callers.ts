/** Callers that read as fast as they can, slowly, or nothing of an answer. */
import * as Http from 'node:http';

import * as Standins from '@sequoiarill/standins';

export interface ReadRequest {
  readonly address: string;
  readonly path: string;
  readonly id: string;
  readonly apiKey: string;
  readonly limitMs: number;
  /** Undefined reads as fast as possible, 0 nothing. */
  readonly bytesPerSecond: number | undefined;
  readonly signal: AbortSignal;
}

export interface ReadResult {
  readonly id: string;
  readonly path: string;
  /** Undefined where no answer came. */
  readonly status: number | undefined;
  readonly bytes: number;
  /** Whether the answer ended as its framing says; false for one that broke off. */
  readonly isComplete: boolean;
  /** Whether the caller left before the end of the answer. */
  readonly hasLeft: boolean;
  readonly durationMs: number;
}

const TICK_MS = 100;
const TICKS_PER_SECOND = 10;

async function readSlowly(
  response: Http.IncomingMessage,
  bytesPerTick: number,
  onBytes: (count: number) => void,
): Promise<void> {
  await new Promise<void>((resolve) => {
    const timer = setInterval(() => {
      if (bytesPerTick === 0) return;
      const available = Math.min(bytesPerTick, response.readableLength);
      // With nothing buffered, a read starts the transfer of more, and takes what has arrived.
      const chunk = response.read(available === 0 ? undefined : available) as Buffer | null;
      if (chunk !== null) onBytes(chunk.length);
    }, TICK_MS);
    response.once('close', () => {
      clearInterval(timer);
      resolve();
    });
  });
}

async function readFast(
  response: Http.IncomingMessage,
  onBytes: (count: number) => void,
): Promise<void> {
  await new Promise<void>((resolve) => {
    response.on('data', (chunk: Buffer) => onBytes(chunk.length));
    response.once('close', resolve);
  });
}

async function openAnswer(request: ReadRequest): Promise<Http.IncomingMessage | undefined> {
  const { address, path, id, apiKey, limitMs, signal } = request;
  return new Promise((resolve) => {
    const sent = Http.request(`http://${address}${path}`, {
      agent: false,
      signal,
      headers: Standins.createCallerHeaders({ requestId: id, apiKey, limitMs }),
    });
    sent.on('error', () => resolve(undefined));
    sent.on('response', (response) => {
      // The error of a broken answer says no more than that it is not complete.
      response.on('error', () => undefined);
      resolve(response);
    });
    sent.end();
  });
}

export async function runReader(request: ReadRequest): Promise<ReadResult> {
  const { id, path, bytesPerSecond, signal } = request;
  const startedMs = performance.now();
  const response = await openAnswer(request);
  let bytes = 0;
  const onBytes = (count: number) => {
    bytes += count;
  };
  if (response !== undefined) {
    if (bytesPerSecond === undefined || response.statusCode !== 200) {
      await readFast(response, onBytes);
    } else {
      await readSlowly(response, Math.round(bytesPerSecond / TICKS_PER_SECOND), onBytes);
    }
  }
  return {
    id,
    path,
    status: response?.statusCode,
    bytes,
    isComplete: response?.complete ?? false,
    hasLeft: signal.aborted,
    durationMs: performance.now() - startedMs,
  };
}
