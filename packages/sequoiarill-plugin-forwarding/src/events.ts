/** Events 1900 to 1999: forwarded requests and the targets that run them. */
import * as Kernel from '@sequoiarill/kernel';

export const LISTENING = Kernel.defineEvent(
  1900,
  'info',
  'forwarding.listening',
  'Callers and readiness checks are answered at these addresses.',
);
export const READY = Kernel.defineEvent(
  1901,
  'info',
  'forwarding.ready',
  'A configuration is known, and readiness checks are answered with 200.',
);
export const DRAINING = Kernel.defineEvent(
  1902,
  'info',
  'forwarding.draining',
  'Readiness checks fail from now on; requests in progress end, and idle connections are closed.',
);
export const DRAINED = Kernel.defineEvent(
  1903,
  'info',
  'forwarding.drained',
  'No request is in progress any more, or the time for it is up.',
);
export const REQUEST_REFUSED = Kernel.defineEvent(
  1910,
  'warn',
  'request.refused',
  'A request was not run; its caller was told when to come back, or why it is not allowed.',
);
export const REQUEST_FAILED = Kernel.defineEvent(
  1911,
  'warn',
  'request.failed',
  'A request that may have run has no whole answer; its caller was told so.',
);
export const REQUEST_REPEATED = Kernel.defineEvent(
  1912,
  'info',
  'request.repeated',
  'A target gave no whole answer or did not run the request; another target is asked.',
);
export const STREAM_CONTINUED = Kernel.defineEvent(
  1913,
  'info',
  'stream.continued',
  'A target was lost in the middle of a stream; another one goes on after the last whole event.',
);
export const STREAM_BROKEN = Kernel.defineEvent(
  1914,
  'error',
  'stream.broken',
  'A stream ended before its last event; its caller sees a broken connection.',
);
export const TARGET_LOST = Kernel.defineEvent(
  1915,
  'warn',
  'target.lost',
  'A target refused a connection, broke one off, or fell silent; it is left out for a while.',
);
export const LINES_LEFT_OUT = Kernel.defineEvent(
  1916,
  'info',
  'log.linesLeftOut',
  'More events of a kind came than are logged a second; this many were left out.',
);

export const STREAM_LATE = Kernel.defineEvent(
  1917,
  'warn',
  'stream.late',
  "A stream's first event, or one after a pause, came later than its route's objective.",
);
export const STREAM_RESUMED = Kernel.defineEvent(
  1918,
  'info',
  'stream.resumed',
  'A caller came back for the rest of a stream that had broken off.',
);

export const STREAM_PLACED = Kernel.defineEvent(
  1919,
  'info',
  'stream.placed',
  'An engine was chosen for a stream, by the load that the engines asked just before reported; unasked where none has answered.',
);

export const STREAM_COPIED = Kernel.defineEvent(
  1920,
  'info',
  'stream.copied',
  "Another copy of a run's memory was ordered: its keeper was lost, a better place opened, or it was due.",
);
export const ORDER_FAILED = Kernel.defineEvent(
  1921,
  'error',
  'engine.orderFailed',
  'An order to an engine ended with an error of this program; the stream goes on without it.',
);

export const REPEATS_BORROWED = Kernel.defineEvent(
  1922,
  'info',
  'repeats.borrowed',
  "This router's part of the repeats was spent, and other routers were asked for what they had left.",
);

export const TARGET_ENDED = Kernel.defineEvent(
  1923,
  'warn',
  'target.ended',
  'A target ended as it began to run a request; the crash is counted against the content of the request.',
);
export const CONTENT_BLOCKED = Kernel.defineEvent(
  1924,
  'warn',
  'content.blocked',
  'Several targets ended under requests with this content; it is sent to none for a while. `source` tells who found it.',
);
export const PEER_NOT_TOLD = Kernel.defineEvent(
  1925,
  'info',
  'crashes.peerNotTold',
  'Another router could not be told of a crash or of a blocked content; others were.',
);

export const LIMIT_NAMED = Kernel.defineEvent(
  1926,
  'info',
  'target.limitNamed',
  'A target names another limit of requests a second over all routers than before; null where it names none any more.',
);

export const LENDER_SILENT = Kernel.defineEvent(
  1927,
  'info',
  'limits.lenderSilent',
  'A router that sends to a target with a limit did not answer another one that asked it for a request.',
);

export const CONTENT_RELEASED = Kernel.defineEvent(
  1928,
  'info',
  'content.released',
  'A content that was blocked has been answered since, so it was not to blame; no router refuses it any more.',
);

export const BREAK_NOT_COUNTED = Kernel.defineEvent(
  1929,
  'info',
  'target.breakNotCounted',
  'A target broke off as it began to run a request, and is not known to have ended: it takes connections, or nothing answers there.',
);

export const EVENTS = [
  LISTENING,
  READY,
  DRAINING,
  DRAINED,
  REQUEST_REFUSED,
  REQUEST_FAILED,
  REQUEST_REPEATED,
  STREAM_CONTINUED,
  STREAM_BROKEN,
  TARGET_LOST,
  LINES_LEFT_OUT,
  STREAM_LATE,
  STREAM_RESUMED,
  STREAM_PLACED,
  STREAM_COPIED,
  ORDER_FAILED,
  REPEATS_BORROWED,
  TARGET_ENDED,
  CONTENT_BLOCKED,
  PEER_NOT_TOLD,
  LIMIT_NAMED,
  LENDER_SILENT,
  CONTENT_RELEASED,
  BREAK_NOT_COUNTED,
];
