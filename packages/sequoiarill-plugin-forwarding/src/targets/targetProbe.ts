/** Probes targets for a sign of life, each over a new connection. */
import type { Clock, Directory, ForwardingTarget, ForwardingWire } from '@sequoiarill/types';

import * as TargetCalls from './targetCall';
import type { TargetConnections } from './targetConnections';
import type { TargetNotices } from './targetNotices';

export interface TargetProbeOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'getRunningMs'>;
  readonly wire: Pick<ForwardingWire, 'reportPath'>;
  readonly directory: Pick<Directory, 'getConfiguration'>;
  readonly connections: Pick<TargetConnections, 'openConnection'>;
  readonly notices: Pick<TargetNotices, 'recordHead' | 'recordStart'>;
  /** From the start of the probe to its answer, milliseconds of running time. */
  readonly answerTimeoutMs?: number;
}

/** Covers a connection between zones. */
const CONNECT_TIMEOUT_MS = 300;
/** An overloaded target accepts the connection, and answers once a slot is free. */
const ANSWER_TIMEOUT_MS = 1_000;

/** `answered`: in time, with whatever status; `closed`: the connection was refused, or ended without an answer. */
export type TargetProbeResult = 'answered' | 'closed' | 'silent';

export type TargetProbe = (target: ForwardingTarget) => Promise<TargetProbeResult>;

export function createTargetProbe(options: TargetProbeOptions): TargetProbe {
  const { clock, wire, directory, connections, notices } = options;
  const { answerTimeoutMs = ANSWER_TIMEOUT_MS } = options;
  const connectTimeoutMs = Math.min(CONNECT_TIMEOUT_MS, answerTimeoutMs);

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
      recordHead: (head) => notices.recordHead(target, head),
      recordStart: () => notices.recordStart(target),
    });
    const startedMs = clock.getRunningMs();
    const readUntil = (silenceDeadlineMs: number) =>
      TargetCalls.readNextEvent(clock, call, {
        silenceDeadlineMs,
        expiresAtMs: Number.POSITIVE_INFINITY,
      });
    let event = await readUntil(startedMs + connectTimeoutMs);
    if (event.kind === 'timeout' && call.wasSent()) {
      event = await readUntil(startedMs + answerTimeoutMs);
    }
    call.cancel();
    if (event.kind === 'head') return 'answered';
    return event.kind === 'timeout' ? 'silent' : 'closed';
  };
}
