/** Forwards callers' requests to targets and continues a stream on another target when one is lost. */
import * as Kernel from '@sequoiarill/kernel';

import * as ForwardingPlugin from './plugin';

Kernel.registerPlugin(ForwardingPlugin.plugin);

export { METRICS } from './metrics';
export { plugin } from './plugin';
