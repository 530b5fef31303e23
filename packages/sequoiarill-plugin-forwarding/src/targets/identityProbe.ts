/** Asks which target answers at an address, over a new connection. */
import type { Directory, ForwardingTarget, HeaderNames } from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import type { TargetProbeOptions } from './targetProbe';
import * as TargetCalls from './targetCall';

/** Resolves with the id that is named there; undefined where none is in time. */
export type IdentityProbe = (target: ForwardingTarget) => Promise<string | undefined>;

export interface IdentityProbeOptions extends Pick<
  TargetProbeOptions,
  'clock' | 'connections' | 'notices'
> {
  readonly headers: Pick<HeaderNames, 'targetId'>;
  readonly directory: Pick<Directory, 'getConfiguration'>;
}

/** A status check waits for a slot of its target where it has none to spare. */
const TIMEOUT_MS = 500;

export function createIdentityProbe(options: IdentityProbeOptions): IdentityProbe {
  const { clock, headers, directory, connections, notices } = options;
  const pending = new Map<string, Promise<string | undefined>>();

  async function runProbe(target: ForwardingTarget): Promise<string | undefined> {
    const path = directory.getConfiguration()?.services.get(target.service)?.healthPath ?? '/';
    const call = TargetCalls.openCall({
      connection: connections.openConnection(target),
      target,
      method: 'GET',
      path,
      headers: [],
      body: Buffer.alloc(0),
      // The answer may be another target's, and tells nothing about this one.
      recordHead: () => undefined,
      recordStart: () => notices.recordStart(target),
    });
    // Clock time, after which all that arrived during a pause is still read.
    const event = await TargetCalls.readNextEvent(
      { getNowMs: clock.getNowMs, getRunningMs: clock.getNowMs },
      call,
      {
        silenceDeadlineMs: clock.getNowMs() + TIMEOUT_MS,
        expiresAtMs: Number.POSITIVE_INFINITY,
      },
    );
    call.cancel();
    return event.kind === 'head' ? Checks.getHeader(event.head, headers.targetId) : undefined;
  }

  /** Checks of one address at the same time share a connection. */
  return async function readIdentity(target) {
    const running = pending.get(target.address);
    if (running !== undefined) return running;
    const probe = runProbe(target).finally(() => pending.delete(target.address));
    pending.set(target.address, probe);
    return probe;
  };
}
