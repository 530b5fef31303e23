/** The plug-in kernel of sequoiarill, built on a local Moleculer broker. */
export * from './apiKeys';
export * from './clock';
export * from './events';
export * from './fakeClock';
export * from './fakeWire';
export * from './hopByHopHeaders';
export * from './idleConnections';
export * from './journal';
export * from './kernel';
export * from './listeners';
export * from './metrics';
export * from './metricsPage';
export * from './registry';
export * as Revisions from './revisions';
export * from './requestGuard';
export * from './runningTime';
export * from './settings';
