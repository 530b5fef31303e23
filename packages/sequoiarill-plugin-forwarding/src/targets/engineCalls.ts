/** Sends the router's own requests to engines: load reports, cache listings, commands. */
import type { Clock, ForwardingTarget } from '@sequoiarill/types';

import type { AnswerHead } from '../forwardRequest';
import type { RawHeader } from '../front/headers';
import * as TargetCalls from './targetCall';
import type { TargetConnections } from './targetConnections';
import type { TargetNotices } from './targetNotices';

export interface EngineCommand {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: string;
  readonly headers?: readonly RawHeader[];
  readonly limitMs: number;
  /** Called when the connection was refused or ended before the response was complete. */
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

export function createEngineCaller(
  clock: Pick<Clock, 'getNowMs' | 'getRunningMs'>,
  connections: Pick<TargetConnections, 'takeConnection'>,
  notices: Pick<TargetNotices, 'recordHead' | 'recordStart' | 'isResting'>,
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
      recordStart: () => notices.recordStart(target),
    });
    const silenceDeadlineMs = clock.getRunningMs() + limitMs;
    const limits = { silenceDeadlineMs, expiresAtMs: Number.POSITIVE_INFINITY };
    const chunks: Buffer[] = [];
    let head: AnswerHead | undefined;
    for (;;) {
      const event = await TargetCalls.readNextEvent(clock, call, limits);
      if (event.kind === 'head') head = event.head;
      else if (event.kind === 'data') chunks.push(event.chunk);
      else {
        call.cancel();
        if (event.kind === 'broken') recordBroken?.();
        if (event.kind !== 'end' || head === undefined) return undefined;
        return { head, text: Buffer.concat(chunks).toString('utf8') };
      }
    }
  };
}
