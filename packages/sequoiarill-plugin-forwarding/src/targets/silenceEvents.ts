/** Events 1950 to 1959: targets that fall silent, what other routers hear of them, and targets that send too much. */
import * as Kernel from '@sequoiarill/kernel';

export const TARGET_SILENT = Kernel.defineEvent(
  1950,
  'warn',
  'target.silent',
  'A target that runs a request has sent nothing for `silentMs`. `contact` is what a new connection to it shows, `kept` why the request stays with it; without `kept` it goes on elsewhere.',
);
export const TARGET_SPOKE = Kernel.defineEvent(
  1951,
  'info',
  'target.spoke',
  'A target that was reported silent for a request goes on with it, after `silentMs`.',
);

export const HEARD_ELSEWHERE = Kernel.defineEvent(
  1952,
  'warn',
  'path.heardElsewhere',
  'No target of a service has been heard here for `silentMs`, while `router` in `zone` heard one `routerHeardAgeMs` ago: the path of this router is lost, and requests may go through another one.',
);
export const SILENT_ELSEWHERE = Kernel.defineEvent(
  1953,
  'warn',
  'path.silentElsewhere',
  'No target of a service has been heard here for `silentMs`, and no other router that was asked has heard one in the later part of that time: requests stay with their targets. `answers` has what each router said.',
);

export const TARGET_EXCESS = Kernel.defineEvent(
  1954,
  'warn',
  'target.excessBytes',
  'A target has sent more than an answer has in this `phase`: its call is cut and its connection closed, `ms` after the call began. Without `request`, the call was one of the router itself.',
);

export const SILENCE_EVENTS = [
  TARGET_SILENT,
  TARGET_SPOKE,
  HEARD_ELSEWHERE,
  SILENT_ELSEWHERE,
  TARGET_EXCESS,
];
