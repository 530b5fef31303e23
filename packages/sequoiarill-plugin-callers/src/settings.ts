/** Settings of the `[callers]` section. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

const BYTES_PER_MB = 1_048_576;
/** At least 32 bytes: an HMAC key shorter than the SHA-256 digest weakens the signature. */
const CURSOR_KEY_PATTERN = /^([0-9a-f]{2}){32,}$/i;

const positiveIntegerSchema = Zod.coerce.number().int('use a whole number').min(1, 'use 1 or more');

const fieldsSchema = Zod.strictObject({
  /** IP and port to listen on; with port 0 the system selects one, shown in the state dump. */
  listen: Kernel.addressSchema.default('127.0.0.1:8080'),
  /** Maximum size of a request body; a larger one is refused with 413. */
  maxBodyBytes: positiveIntegerSchema.default(BYTES_PER_MB),
  /** Time limit for receiving a full request, in milliseconds. */
  requestTimeoutMs: positiveIntegerSchema.default(60_000),
  /** Time limit for receiving the request headers, in milliseconds. */
  headersTimeoutMs: positiveIntegerSchema.default(15_000),
  /** One connection more closes the one without a request for longest, which limits memory and file handles. */
  maxConnections: positiveIntegerSchema.default(10_000),
  /** Time after which an idle connection is closed, in milliseconds. */
  keepAliveMs: positiveIntegerSchema.default(65_000),
  /** Time after which a caller that reads nothing is disconnected, in milliseconds. */
  writeTimeoutMs: positiveIntegerSchema.default(60_000),
  /** Time after which a streamed response without a reader is cancelled, in milliseconds. */
  resumeGraceMs: positiveIntegerSchema.default(15_000),
  /** Time for which a response is retained after its end, in milliseconds. */
  retainMs: positiveIntegerSchema.default(60_000),
  /** Maximum size of the retained events of one response, in bytes. */
  maxResponseBytes: positiveIntegerSchema.default(4 * BYTES_PER_MB),
  /** Maximum size of all retained responses, in bytes. */
  maxRetainedBytes: positiveIntegerSchema.default(64 * BYTES_PER_MB),
  /** Hexadecimal, 32 bytes or more, the same on every router; random if not set. */
  cursorKey: Zod.string().regex(CURSOR_KEY_PATTERN, 'use 64 or more hexadecimal digits').optional(),
});

/** Checked here because the error of Node.js names neither section nor key. */
export const settingsSchema = fieldsSchema.refine(
  ({ headersTimeoutMs, requestTimeoutMs }) => headersTimeoutMs <= requestTimeoutMs,
  { path: ['headersTimeoutMs'], message: 'use at most requestTimeoutMs' },
);

export type CallersSettings = Readonly<Zod.infer<typeof settingsSchema>>;
