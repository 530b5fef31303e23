/** Whole answers of the stand-in for targets in whose middle it pauses, as the query of a request's path asks for them. */
import type { ServerResponse } from 'node:http';

import type { RunTimers } from '../shared/timers';
import * as RawHttp from './rawHttp';
import type { WholeAnswer } from './rawHttp';

export const PAUSE_PHASES = [
  'interim',
  'headLine',
  'headerFields',
  'chunkExtension',
  'body',
  'trailers',
] as const;

/** The part of an answer in which the stand-in pauses. */
export type PausePhase = (typeof PAUSE_PHASES)[number];

/** Of these, the first ones are sent at once, and the second ones after the pause. */
type SplitAnswer = (whole: WholeAnswer) => readonly [string, string];

const TRAILER = 'x-checksum: 0123456789';

function splitAt(text: string, part: string): readonly [string, string] {
  const offset = text.indexOf(part) + Math.ceil(part.length / 2);
  return [text.slice(0, offset), text.slice(offset)];
}

function formatChunked({ headers, body }: WholeAnswer): string {
  const head = RawHttp.formatHead('200 OK', {
    ...headers,
    connection: 'close',
    'transfer-encoding': 'chunked',
  });
  const chunk = RawHttp.formatChunk(body).replace('\r\n', ';name=value\r\n');
  return `${head}${chunk}0\r\n${TRAILER}\r\n\r\n`;
}

const SPLITS: Readonly<Record<PausePhase, SplitAnswer>> = {
  interim: (whole) => [RawHttp.formatHead('103 Early Hints', {}), formatChunked(whole)],
  headLine: (whole) => splitAt(formatChunked(whole), 'HTTP/1.1 200 OK'),
  headerFields: (whole) => splitAt(formatChunked(whole), 'transfer-encoding'),
  chunkExtension: (whole) => splitAt(formatChunked(whole), ';name=value'),
  body: (whole) => splitAt(formatChunked(whole), whole.body),
  trailers: (whole) => splitAt(formatChunked(whole), TRAILER),
};

function findPhase(path: string): PausePhase | undefined {
  const wanted = RawHttp.parseQuery(path).get('pauseIn');
  return PAUSE_PHASES.find((phase) => phase === wanted);
}

export function formatLargeEvent(bytes: number): string {
  return `id: 1\ndata: ${'a'.repeat(bytes)}\n\n`;
}

/** The only event of a stream whose path has `eventBytes`; undefined without it. */
export function findLargeEvent(path: string): string | undefined {
  const bytes = RawHttp.parseQuery(path).get('eventBytes');
  return bytes === null ? undefined : formatLargeEvent(Number(bytes));
}

export function isPaused(path: string): boolean {
  return findPhase(path) !== undefined;
}

/**
 * Sends the answer that the path asks for; resolves when all of it is sent.
 *
 * - `pauseIn`: the phase.
 * - `pauseMs`: length of each pause.
 * - `pauseCount`: number of pauses, with one byte after each of them; 1 unless given.
 */
export async function sendPaused(
  path: string,
  whole: WholeAnswer,
  response: ServerResponse,
  timers: RunTimers,
): Promise<void> {
  const phase = findPhase(path);
  const { socket } = response;
  if (phase === undefined || socket === null) return;
  const query = RawHttp.parseQuery(path);
  const pauseCount = Number(query.get('pauseCount') ?? 1);
  const [start, rest] = SPLITS[phase](whole);
  socket.write(start);
  for (let index = 0; index < pauseCount; index += 1) {
    await timers.waitMs(Number(query.get('pauseMs')));
    if (index < pauseCount - 1) socket.write(rest.slice(index, index + 1));
  }
  socket.write(rest.slice(pauseCount - 1), () => socket.end());
}
