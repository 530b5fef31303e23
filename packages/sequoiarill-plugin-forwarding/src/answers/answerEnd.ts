/** Checks the end of an answer that nothing but the end of its connection tells. */
import type { ForwardingTarget } from '@sequoiarill/types';

import type { ForwardingDependencies } from '../dependencies';
import type { AnswerHead } from '../forwardRequest';
import type { CallEvent } from '../targets/targetCall';
import * as Checks from './answerChecks';

type ExitDependencies = Readonly<{ crashes: Pick<ForwardingDependencies['crashes'], 'hasExited'> }>;

export const EXITED_REASON = 'target exited without framing';

/**
 * Failure: a target is killed in the middle of an answer without framing. Its connections end as they would after the
 * last byte, and the answer would look complete.
 */
export async function isCutByExit(
  { crashes }: ExitDependencies,
  target: ForwardingTarget,
  head: AnswerHead,
): Promise<boolean> {
  return Checks.isCloseDelimited(head) && crashes.hasExited(target);
}

/** Reads the events of an answer, of which an end by the exit of its target is none. */
export function createEndCheck(
  dependencies: ExitDependencies,
  target: ForwardingTarget,
  head: AnswerHead,
  readNext: () => Promise<CallEvent>,
): () => Promise<CallEvent> {
  return async function readChecked() {
    const event = await readNext();
    if (event.kind !== 'end' || !(await isCutByExit(dependencies, target, head))) return event;
    return { kind: 'broken', reason: EXITED_REASON };
  };
}
