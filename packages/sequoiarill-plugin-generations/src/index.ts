/** Runs generations on engines that may fail: dispatch, token relay and continuation. */
import * as Kernel from '@sequoiarill/kernel';

import { generationsPlugin } from './plugin';

Kernel.registerPlugin(generationsPlugin);

export { generationsPlugin };
export { METRICS } from './metrics';
