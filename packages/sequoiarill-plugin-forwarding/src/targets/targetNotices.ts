/** What targets say about themselves in the heads of their answers and in their load reports. */
import type { Directory, ForwardingTarget, HeaderNames } from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import * as Events from '../events';
import type { AnswerHead } from '../forwardRequest';
import type { RateLimitedLog } from '../rateLimitedLog';

export interface TargetNotices {
  /** Records the head of an answer that came from the target's address. */
  readonly recordHead: (target: ForwardingTarget, head: AnswerHead) => void;
  /** Records that the target said that it is about to stop; `source` names where, for the log. */
  readonly recordLeaving: (target: ForwardingTarget, source: 'answer' | 'report') => void;
}

export interface TargetNoticesOptions {
  readonly headers: Pick<HeaderNames, 'leaving' | 'retryAfter' | 'targetId'>;
  readonly directory: Pick<Directory, 'findCurrent' | 'recordLeaving'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
}

const UNAVAILABLE = 503;
const LEAVING = '1';

export function createTargetNotices(options: TargetNoticesOptions): TargetNotices {
  const { headers, directory, log } = options;

  function recordLeaving(target: ForwardingTarget, source: 'answer' | 'report'): void {
    if (directory.findCurrent(target)?.state === 'draining') return;
    log.logEvent(Events.TARGET_LEAVING, { target: target.id, zone: target.zone, source });
    directory.recordLeaving(target);
  }

  return {
    recordLeaving,
    recordHead(target, head) {
      if (!Checks.isFromTarget(head, target, headers)) return;
      if (Checks.getHeader(head, headers.leaving)?.trim() === LEAVING) {
        recordLeaving(target, 'answer');
      }
      const retryAfter = Checks.getHeader(head, headers.retryAfter);
      if (head.status === UNAVAILABLE && retryAfter !== undefined) {
        log.logEvent(Events.TARGET_RESTING, { target: target.id, zone: target.zone, retryAfter });
      }
    },
  };
}
