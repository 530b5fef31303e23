/** Who gets room at the engines of a service, decided with what the routers tell each other. */
import * as Kernel from '@sequoiarill/kernel';

import * as RoomPlugin from './plugin';

Kernel.registerPlugin(RoomPlugin.plugin);

export { plugin } from './plugin';
