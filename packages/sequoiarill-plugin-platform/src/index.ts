/** Configuration document, leases and watches in the key-value service of the platform. */
import * as Kernel from '@sequoiarill/kernel';

import { platformPlugin } from './platformPlugin';

Kernel.registerPlugin(platformPlugin);

export * from './announcementStore';
export * from './configurationBuilder';
export * from './configurationState';
export * from './configurationSync';
export * from './documentDiff';
export * from './documentEditor';
export * from './documentReader';
export * from './documentSchema';
export * from './keyValueStore';
export * from './leaderElection';
export * from './metrics';
export * from './platformConnection';
export * from './platformPlugin';
export * from './platformSettings';
export * from './sectionHistory';
export * from './sectionParser';
export * from './storedSection';
