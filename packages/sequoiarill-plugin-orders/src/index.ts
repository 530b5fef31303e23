/** Calls to plain services, non-idempotent ones at most once. */
import * as Kernel from '@sequoiarill/kernel';

import { plugin } from './plugin';

export { METRICS } from './metrics';
export { plugin } from './plugin';

Kernel.registerPlugin(plugin);
