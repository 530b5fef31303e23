/** Public types of sequoiarill: configuration, messages, outcomes and plug-in interfaces. */
export type * from './configuration';
export type * from './forwarding';
export type * from './generations';
export type * from './journal';
export type * from './keyValue';
export type * from './membership';
export type * from './orders';
export type * from './peers';
export type * from './plugins';
export type * from './promptParts';
export type * from './rollouts';
export type * from './room';
