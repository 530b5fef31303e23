/** Plug-in that calls plain services; a non-idempotent order is run at most once. */
import * as Kernel from '@sequoiarill/kernel';

import { plugin } from './plugin';

export { METRICS } from './metrics';
export { plugin } from './plugin';

Kernel.registerPlugin(plugin);
