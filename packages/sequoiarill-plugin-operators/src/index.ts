/** State dump, explanations, readiness and draining for operators. */
import * as Kernel from '@sequoiarill/kernel';

import * as Operators from './plugin';

Kernel.registerPlugin(Operators.plugin);

export { METRICS } from './metrics';
export { plugin } from './plugin';
