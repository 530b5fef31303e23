/** Probes targets for a sign of life, each over a new connection. */
import type { Clock, Directory, ForwardingTarget, ForwardingWire } from '@sequoiarill/types';

import * as TargetCalls from './targetCall';
import type { CallEvent } from './targetCall';
import type { TargetConnections } from './targetConnections';
import type { TargetNotices } from './targetNotices';

export interface TargetProbeOptions {
  readonly clock: Pick<Clock, 'getNowMs' | 'getRunningMs'>;
  readonly wire: Pick<ForwardingWire, 'reportPath'>;
  readonly directory: Pick<Directory, 'getConfiguration'>;
  readonly connections: Pick<TargetConnections, 'openConnection'>;
  readonly notices: Pick<TargetNotices, 'recordHead' | 'recordStart'>;
}

/** From the start of a probe, milliseconds of running time. */
export interface ProbeTimeouts {
  readonly connectMs: number;
  readonly answerMs: number;
}

const TIMEOUTS: ProbeTimeouts = {
  /** Covers a connection between zones. */
  connectMs: 300,
  /** An overloaded target accepts the connection, and answers once a slot is free. */
  answerMs: 1_000,
};

const REFUSED = 'ECONNREFUSED';

/**
 * `answered`: in time, with whatever status; `accepted`: it took the connection and gave no answer in time, as a process
 * that is paused or overloaded does; `closed`: the connection was refused, or ended without an answer; `silent`: no
 * connection in time.
 */
export type TargetProbeResult = 'answered' | 'accepted' | 'closed' | 'silent';

export type TargetProbe = (target: ForwardingTarget) => Promise<TargetProbeResult>;

/**
 * `answers`: a probe over a new connection is answered; `accepts`: a connection opens and nothing is answered, as with
 * a paused process, whose kernel goes on accepting; `refuses`: the connection is refused, or closed without an answer,
 * so the process has terminated; `unreachable`: no response to the connection attempt, as from a host without power
 * or beyond a cut path.
 */
export type TargetContact = 'answers' | 'accepts' | 'refuses' | 'unreachable';

export type ContactProbe = (target: ForwardingTarget) => Promise<TargetContact>;

interface ProbeEnd {
  readonly event: CallEvent;
  /** Whether the connection was opened. */
  readonly wasOpen: boolean;
}

function createProbe(
  { clock, wire, directory, connections, notices }: TargetProbeOptions,
  { connectMs, answerMs }: ProbeTimeouts,
): (target: ForwardingTarget) => Promise<ProbeEnd> {
  return async function runProbe(target) {
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
    let event = await readUntil(startedMs + connectMs);
    if (event.kind === 'timeout' && call.wasSent()) event = await readUntil(startedMs + answerMs);
    call.cancel();
    return { event, wasOpen: call.wasSent() };
  };
}

export function createTargetProbe(options: TargetProbeOptions): TargetProbe {
  const runProbe = createProbe(options, TIMEOUTS);

  return async function checkAnswer(target) {
    const { event, wasOpen } = await runProbe(target);
    if (event.kind === 'head') return 'answered';
    if (event.kind !== 'timeout') return 'closed';
    return wasOpen ? 'accepted' : 'silent';
  };
}

export function createContactProbe(
  options: TargetProbeOptions,
  timeouts: ProbeTimeouts,
): ContactProbe {
  const runProbe = createProbe(options, timeouts);

  return async function readContact(target) {
    const { event, wasOpen } = await runProbe(target);
    if (event.kind === 'head') return 'answers';
    if (event.kind === 'timeout') return wasOpen ? 'accepts' : 'unreachable';
    const isRefused = event.kind === 'broken' && event.reason === REFUSED;
    return wasOpen || isRefused ? 'refuses' : 'unreachable';
  };
}
