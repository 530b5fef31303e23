/** Which targets name a limit in their answers, as far as this router was told. */
import type { ForwardingTarget, HeaderNames } from '@sequoiarill/types';

import * as Checks from '../answers/answerChecks';
import type { BoundedLog } from '../boundedLog';
import * as Events from '../events';
import type { AnswerHead } from '../forwardRequest';

export interface NamedLimits {
  /** The head of an answer that is the target's own. */
  readonly recordHead: (target: ForwardingTarget, head: AnswerHead) => void;
  readonly removeMissing: (isCurrent: (target: ForwardingTarget) => boolean) => void;
}

export interface NamedLimitsOptions {
  readonly headers: Pick<HeaderNames, 'rateLimit'>;
  readonly log: Pick<BoundedLog, 'logEvent'>;
}

/** Requests a second; undefined where the answer names no limit, or one that cannot be read. */
function parseLimit(text: string | undefined): number | undefined {
  const limit = text === undefined || text.trim() === '' ? Number.NaN : Number(text);
  return Number.isFinite(limit) && limit >= 0 ? limit : undefined;
}

export function createNamedLimits({ headers, log }: NamedLimitsOptions): NamedLimits {
  const known = new Map<string, { readonly target: ForwardingTarget; readonly limit: number }>();

  return {
    recordHead(target, head) {
      const limit = parseLimit(Checks.getHeader(head, headers.rateLimit));
      const before = known.get(target.id)?.limit;
      if (limit === undefined) known.delete(target.id);
      else known.set(target.id, { target, limit });
      if (limit === before) return;
      log.logEvent(Events.LIMIT_NAMED, { target: target.id, perSecond: limit ?? null, before });
    },
    removeMissing(isCurrent) {
      for (const [id, { target }] of known) if (!isCurrent(target)) known.delete(id);
    },
  };
}
