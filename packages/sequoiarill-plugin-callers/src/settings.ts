/** Settings of the `[callers]` section. */
import * as Kernel from '@sequoiarill/kernel';
import * as Zod from 'zod';

const BYTES_PER_MB = 1_048_576;
/** An HMAC key shorter than the digest of SHA-256 weakens it. */
const CURSOR_KEY_PATTERN = /^([0-9a-f]{2}){32,}$/i;

const countSchema = Zod.coerce.number().int('use a whole number').min(1, 'use 1 or more');

const fieldsSchema = Zod.strictObject({
  /** IP and port; port 0 takes a free one, shown in the state dump. */
  listen: Kernel.addressSchema.default('127.0.0.1:8080'),
  /** A larger request body is refused with 413. */
  maxBodyBytes: countSchema.default(BYTES_PER_MB),
  /** Time for a whole request to arrive, in milliseconds. */
  requestTimeoutMs: countSchema.default(60_000),
  /** Time for its headers, in milliseconds. */
  headersTimeoutMs: countSchema.default(15_000),
  /** Further connections are closed unanswered, which bounds memory and file handles. */
  maxConnections: countSchema.default(10_000),
  /** An idle connection is closed after so many milliseconds. */
  keepAliveMs: countSchema.default(65_000),
  /** A caller that takes no byte for so many milliseconds is taken as gone. */
  writeTimeoutMs: countSchema.default(60_000),
  /** A streamed response without a reader goes on for so many milliseconds, then is cancelled. */
  resumeGraceMs: countSchema.default(15_000),
  /** Events of a response are kept for so many milliseconds after its end. */
  retainMs: countSchema.default(60_000),
  /** Events kept of one response, in bytes. */
  maxResponseBytes: countSchema.default(4 * BYTES_PER_MB),
  /** Events kept of all responses, in bytes. */
  maxRetainedBytes: countSchema.default(64 * BYTES_PER_MB),
  /** Hexadecimal, 32 bytes or more, the same on every router; a random one without it. */
  cursorKey: Zod.string().regex(CURSOR_KEY_PATTERN, 'use 64 or more hexadecimal digits').optional(),
});

/** Node.js refuses such a server with an error that names neither section nor key. */
export const settingsSchema = fieldsSchema.refine(
  ({ headersTimeoutMs, requestTimeoutMs }) => headersTimeoutMs <= requestTimeoutMs,
  { path: ['headersTimeoutMs'], message: 'use at most requestTimeoutMs' },
);

export type CallersSettings = Readonly<Zod.infer<typeof settingsSchema>>;
