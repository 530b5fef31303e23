/** Exchanges the state of routers and the health of targets between the routers of a fleet. */
import * as Kernel from '@sequoiarill/kernel';

import * as MembershipPlugin from './plugin';

Kernel.registerPlugin(MembershipPlugin.plugin);

export * as Core from './core';
export { METRICS } from './metrics';
export { plugin } from './plugin';
