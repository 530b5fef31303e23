/** Events 1950 to 1959: targets that fall silent while they run a request, and that go on. */
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

export const SILENCE_EVENTS = [TARGET_SILENT, TARGET_SPOKE];
