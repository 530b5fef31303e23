/** What targets say about themselves in the heads of their answers. */
import type { ForwardingTarget, HeaderNames } from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import * as Events from '../events';
import type { AnswerHead } from '../forwardRequest';
import type { RateLimitedLog } from '../rateLimitedLog';

export interface TargetNotices {
  /** Records the head of an answer that came from the target's address. */
  readonly recordHead: (target: ForwardingTarget, head: AnswerHead) => void;
}

export interface TargetNoticesOptions {
  readonly headers: Pick<HeaderNames, 'leaving' | 'retryAfter' | 'targetId'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
}

const UNAVAILABLE = 503;
const LEAVING = '1';

export function createTargetNotices(options: TargetNoticesOptions): TargetNotices {
  const { headers, log } = options;

  return {
    recordHead(target, head) {
      if (!Checks.isFromTarget(head, target, headers)) return;
      const { status } = head;
      if (Checks.getHeader(head, headers.leaving)?.trim() === LEAVING) {
        log.logEvent(Events.TARGET_LEAVING, { target: target.id, zone: target.zone, status });
      }
      const retryAfter = Checks.getHeader(head, headers.retryAfter);
      if (status === UNAVAILABLE && retryAfter !== undefined) {
        log.logEvent(Events.TARGET_RESTING, { target: target.id, zone: target.zone, retryAfter });
      }
    },
  };
}
