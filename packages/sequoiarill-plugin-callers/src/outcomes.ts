/** Maps the outcome of a generation that did not complete to an error response. */
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

const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;
/** Non-standard but common status for a client that disconnected before its answer. */
const HTTP_CLIENT_CLOSED_REQUEST = 499;

export function createFailureFault(outcome: GenerationFailure): Fault {
  switch (outcome.kind) {
    case 'notRun':
      return createNotRunFault(outcome);
    case 'lost':
      return {
        status: HTTP_UNAVAILABLE,
        type: 'server_error',
        code: 'generation_lost',
        message: `${outcome.message} Come back in ${outcome.retryAfterSeconds} s.`,
        retryAfterSeconds: outcome.retryAfterSeconds,
      };
    case 'rejected':
      return Faults.createBadRequest('request_rejected', outcome.message, outcome.parameter);
    default:
      return {
        status: HTTP_CLIENT_CLOSED_REQUEST,
        type: 'invalid_request_error',
        code: 'request_cancelled',
        message: 'The request was cancelled.',
      };
  }
}

function createNotRunFault(outcome: GenerationNotRun): Fault {
  const isRateLimited = outcome.reason === 'organisationLimit';
  return {
    status: isRateLimited ? HTTP_TOO_MANY_REQUESTS : HTTP_UNAVAILABLE,
    type: isRateLimited ? 'rate_limit_error' : 'server_error',
    code: isRateLimited ? 'rate_limit_exceeded' : NOT_RUN_CODES[outcome.reason],
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
