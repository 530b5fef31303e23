/** Provides the configured routes and the running targets, read from the store. */
import * as Kernel from '@sequoiarill/kernel';

import * as DirectoryPlugin from './plugin';

Kernel.registerPlugin(DirectoryPlugin.plugin);

export * as DirectoryStates from './directoryState';
export * as DirectorySyncs from './directorySync';
export * as PeerMessages from './peerMessages';
export * as PeerServers from './peerServer';
export * as RouterEntries from './routerEntry';
export * as StoreFollowers from './storeFollower';
export { METRICS } from './metrics';
export { plugin } from './plugin';
