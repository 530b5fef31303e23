/** Forwards requests of callers to targets and continues streams after a loss. */
import * as Kernel from '@sequoiarill/kernel';

import * as ForwardingPlugin from './plugin';

Kernel.registerPlugin(ForwardingPlugin.plugin);

export { METRICS } from './metrics';
export { plugin } from './plugin';
