/** Sends the router's own requests to engines: load reports, cache listings, commands. */
import type { Clock, ForwardingTarget, HeaderNames } from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import type { AnswerHead } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import * as TargetCalls from './targetCall';
import type { CallEvent, TargetCall } from './targetCall';
import type { TargetConnections } from './targetConnections';
import type { TargetNotices } from './targetNotices';

export interface EngineCommand {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  readonly headers?: readonly RawHeader[];
  readonly limitMs: number;
  /** Called when the connection was refused, ended before the response was complete, or carried too much. */
  readonly recordBroken?: () => void;
}

export interface EngineResponse {
  readonly head: AnswerHead;
  readonly text: string;
}

/** Undefined when there is no complete response in time, or the engine has asked for rest. */
export type EngineCaller = (
  target: ForwardingTarget,
  command: EngineCommand,
) => Promise<EngineResponse | undefined>;

/** A listing of 10,000 prompt parts has half a megabyte. */
const MAX_RESPONSE_BYTES = 4_194_304;

export function createEngineCaller(
  clock: Pick<Clock, 'getNowMs' | 'getRunningMs'>,
  connections: Pick<TargetConnections, 'takeConnection'>,
  notices: Pick<TargetNotices, 'recordHead' | 'recordStart' | 'isResting' | 'createExcessRecord'>,
  names: Pick<HeaderNames, 'requestId'>,
): EngineCaller {
  return async (target, { method, path, body, headers = [], limitMs, recordBroken }) => {
    if (notices.isResting(target)) return undefined;
    const call = TargetCalls.openCall({
      connection: connections.takeConnection(target),
      target,
      method,
      path,
      headers: body === undefined ? headers : [['content-type', 'application/json'], ...headers],
      body: Buffer.from(body ?? ''),
      recordHead: (answerHead) => notices.recordHead(target, answerHead),
      findMismatch: (answerHead, isFirst) =>
        Checks.findMismatch(answerHead, undefined, names, isFirst),
      recordStart: () => notices.recordStart(target),
      recordExcess: notices.createExcessRecord(target),
    });
    const silenceDeadlineMs = clock.getRunningMs() + limitMs;
    const limits = { silenceDeadlineMs, expiresAtMs: Number.POSITIVE_INFINITY };
    const result = await readResponse(call, () => TargetCalls.readNextEvent(clock, call, limits));
    call.cancel();
    if (result.kind === 'broken') recordBroken?.();
    return result.kind === 'response' ? result.response : undefined;
  };
}

type ReadResult =
  | { readonly kind: 'response'; readonly response: EngineResponse }
  | { readonly kind: 'broken' }
  | { readonly kind: 'none' };

async function readResponse(
  call: Pick<TargetCall, 'recordExcess'>,
  readNext: () => Promise<CallEvent>,
): Promise<ReadResult> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  let head: AnswerHead | undefined;
  for (;;) {
    const event = await readNext();
    if (event.kind === 'head') head = event.head;
    else if (event.kind === 'data') {
      chunks.push(event.chunk);
      bytes += event.chunk.length;
      if (bytes > MAX_RESPONSE_BYTES) {
        call.recordExcess('report', bytes);
        return { kind: 'broken' };
      }
    } else if (event.kind !== 'end' || head === undefined) {
      return { kind: event.kind === 'broken' ? 'broken' : 'none' };
    } else {
      const text = Buffer.concat(chunks, bytes).toString('utf8');
      return { kind: 'response', response: { head, text } };
    }
  }
}
