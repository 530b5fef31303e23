/** What a caller is told of a generation that did not complete. */
import type {
  GenerationCancelled,
  GenerationLost,
  GenerationNotRun,
  GenerationRejected,
} from '@sequoiarill/types';

import * as Faults from './faults';
import type { Fault } from './faults';

export type GenerationFailure =
  GenerationNotRun | GenerationLost | GenerationRejected | GenerationCancelled;

const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
/** What the field uses for a caller that left before its answer. */
const CLIENT_CLOSED = 499;

export function createFailureFault(outcome: GenerationFailure): Fault {
  switch (outcome.kind) {
    case 'notRun':
      return createNotRunFault(outcome);
    case 'lost':
      return {
        status: UNAVAILABLE,
        type: 'server_error',
        code: 'generation_lost',
        message: `${outcome.message} Come back in ${outcome.retryAfterSeconds} s.`,
        retryAfterSeconds: outcome.retryAfterSeconds,
      };
    case 'rejected':
      return Faults.createInvalid('request_rejected', outcome.message, outcome.parameter);
    default:
      return {
        status: CLIENT_CLOSED,
        type: 'invalid_request_error',
        code: 'request_cancelled',
        message: 'The request was cancelled.',
      };
  }
}

function createNotRunFault(outcome: GenerationNotRun): Fault {
  const isLimit = outcome.reason === 'organisationLimit';
  return {
    status: isLimit ? TOO_MANY_REQUESTS : UNAVAILABLE,
    type: isLimit ? 'rate_limit_error' : 'server_error',
    code: isLimit ? 'rate_limit_exceeded' : NOT_RUN_CODES[outcome.reason],
    message: `Not run: ${outcome.message} Come back in ${outcome.retryAfterSeconds} s.`,
    retryAfterSeconds: outcome.retryAfterSeconds,
  };
}

const NOT_RUN_CODES = {
  organisationLimit: 'rate_limit_exceeded',
  overloaded: 'overloaded',
  noTarget: 'no_target',
  draining: 'draining',
} as const;
