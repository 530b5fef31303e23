/** Events 1955 and 1956: how a part of prompts that crashes targets is found, and what begins after that. */
import * as Kernel from '@sequoiarill/kernel';

export const PART_INQUIRED = Kernel.defineEvent(
  1955,
  'info',
  'part.inquired',
  'The routers were asked what speaks against a part of prompts with enough crashes. `outcome` is blocked, cleared or known, `strength` that of the evidence, `tookMs` the time since the crash that was enough, and `unanswered` the routers that did not reply.',
);
export const PART_BEGUN = Kernel.defineEvent(
  1956,
  'warn',
  'part.begunBlocked',
  'A target has begun to answer a request with a blocked part of a prompt: it was sent `sentAgoMs` ago, and its part is blocked.',
);

export const PART_EVENTS = [PART_INQUIRED, PART_BEGUN];
