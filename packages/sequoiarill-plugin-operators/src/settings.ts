/** Settings of the plug-in `operators`. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

export const settingsSchema = Zod.strictObject({
  /** Address of the operators' listener; port 0 takes a free one. */
  listen: Kernel.addressSchema.default('127.0.0.1:8090'),
  /** Callers of everything but `/live` and `/ready` must send it as `Authorization: Bearer`. */
  token: Zod.string().min(16, 'use at least 16 characters, or leave it out').optional(),
});

export type OperatorsSettings = Readonly<Zod.infer<typeof settingsSchema>>;
