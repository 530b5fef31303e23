/** Probes targets for a sign of life, each over a new connection. */
import type { Clock, Directory, ForwardingTarget, ForwardingWire } from '@sequoiarill/types';

import type { AnswerHead } from '../forwardRequest';
import * as TargetCalls from './targetCall';
import type { TargetConnections } from './targetConnections';

export interface TargetProbeOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'getRunningMs'>;
  readonly wire: Pick<ForwardingWire, 'reportPath'>;
  readonly directory: Pick<Directory, 'getConfiguration'>;
  readonly connections: Pick<TargetConnections, 'openConnection'>;
  readonly recordHead: (target: ForwardingTarget, head: AnswerHead) => void;
}

/** Covers a connection between zones. */
const CONNECT_TIMEOUT_MS = 300;
/** An overloaded target accepts the connection, and answers once a slot is free. */
const ANSWER_TIMEOUT_MS = 1_000;

/**
 * `answered`: in time, with whatever status; `accepted`: it took the connection and gave no answer in time, as a process
 * that is paused or overloaded does; `closed`: the connection was refused, or ended without an answer; `silent`: no
 * connection in time.
 */
export type TargetProbeResult = 'answered' | 'accepted' | 'closed' | 'silent';

export type TargetProbe = (target: ForwardingTarget) => Promise<TargetProbeResult>;

export function createTargetProbe(options: TargetProbeOptions): TargetProbe {
  const { clock, wire, directory, connections } = options;

  return async function checkAnswer(target) {
    const service = directory.getConfiguration()?.services.get(target.service);
    // The load report of an engine waits for no slot.
    const path = service?.engine === undefined ? (service?.healthPath ?? '/') : wire.reportPath;
    const call = TargetCalls.openCall({
      connection: connections.openConnection(target),
      target,
      method: 'GET',
      path,
      headers: [],
      body: Buffer.alloc(0),
      recordHead: (head) => options.recordHead(target, head),
    });
    const startedMs = clock.getRunningMs();
    const readUntil = (silenceDeadlineMs: number) =>
      TargetCalls.readNextEvent(clock, call, {
        silenceDeadlineMs,
        expiresAtMs: Number.POSITIVE_INFINITY,
      });
    let event = await readUntil(startedMs + CONNECT_TIMEOUT_MS);
    if (event.kind === 'timeout' && call.wasSent()) {
      event = await readUntil(startedMs + ANSWER_TIMEOUT_MS);
    }
    call.cancel();
    if (event.kind === 'head') return 'answered';
    if (event.kind !== 'timeout') return 'closed';
    return call.wasSent() ? 'accepted' : 'silent';
  };
}
