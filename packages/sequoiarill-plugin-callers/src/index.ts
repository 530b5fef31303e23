/** HTTP API for callers: responses, chat completions and plain services. */
import * as Kernel from '@sequoiarill/kernel';

import { plugin } from './plugin';

export * from './cursors';
export { FAULT_CODES, RESPONSE_ERROR_CODES } from './faultCodes';
export { METRICS } from './metrics';
export { plugin } from './plugin';

Kernel.registerPlugin(plugin);
