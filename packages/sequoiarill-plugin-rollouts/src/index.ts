/** Moves a service's requests to another version of its targets, or back. */
import * as Kernel from '@sequoiarill/kernel';

import * as RolloutsPlugin from './plugin';

Kernel.registerPlugin(RolloutsPlugin.plugin);

export { plugin } from './plugin';
