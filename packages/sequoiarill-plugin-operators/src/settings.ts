/** Settings of the plug-in `operators`. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

export const settingsSchema = Zod.strictObject({
  /** Address of the operators' listener; with port 0 the system selects a port. */
  listen: Kernel.addressSchema.default('127.0.0.1:8090'),
  /** Required as `Authorization: Bearer` for all paths except `/live` and `/ready`. */
  token: Zod.string().min(16, 'use at least 16 characters, or leave it out').optional(),
});

export type OperatorsSettings = Readonly<Zod.infer<typeof settingsSchema>>;
