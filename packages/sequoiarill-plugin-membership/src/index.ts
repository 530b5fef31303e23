/** Routers of a region know each other and the health of their targets. */
import * as Kernel from '@sequoiarill/kernel';

import * as MembershipPlugin from './plugin';

Kernel.registerPlugin(MembershipPlugin.plugin);

export * as Core from './core';
export { METRICS } from './metrics';
export { plugin } from './plugin';
