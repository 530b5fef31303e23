/** Runs one generation over engines that fail: dispatch, relay, continuation. */
import * as Kernel from '@sequoiarill/kernel';

import { generationsPlugin } from './plugin';

Kernel.registerPlugin(generationsPlugin);

export { generationsPlugin };
export { METRICS } from './metrics';
