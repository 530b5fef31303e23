/** Errors in the format of the published gateway. */

/** gRPC status codes that the gateway passes on. */
const INVALID_ARGUMENT = 3;
const NOT_FOUND = 5;
const OUT_OF_RANGE = 11;
const UNIMPLEMENTED = 12;

export interface PlatformError {
  readonly kind: 'error';
  readonly status: number;
  readonly code: number;
  readonly message: string;
}

function buildError(status: number, code: number, message: string): PlatformError {
  return { kind: 'error', status, code, message };
}

export const REQUEST_TOO_LARGE = buildError(
  400,
  INVALID_ARGUMENT,
  'etcdserver: request is too large',
);
export const KEY_MISSING = buildError(400, INVALID_ARGUMENT, 'etcdserver: key is not provided');
export const DUPLICATE_KEY = buildError(
  400,
  INVALID_ARGUMENT,
  'etcdserver: duplicate key given in txn request',
);
export const TOO_MANY_OPERATIONS = buildError(
  400,
  INVALID_ARGUMENT,
  'etcdserver: too many operations in txn request',
);
export const LEASE_NOT_FOUND = buildError(404, NOT_FOUND, 'etcdserver: requested lease not found');
export const LEASE_EXISTS = buildError(400, INVALID_ARGUMENT, 'etcdserver: lease already exists');
export const COMPACTED = buildError(
  400,
  OUT_OF_RANGE,
  'etcdserver: mvcc: required revision has been compacted',
);
export const FUTURE_REVISION = buildError(
  400,
  OUT_OF_RANGE,
  'etcdserver: mvcc: required revision is a future revision',
);
export const OLD_REVISION = buildError(
  501,
  UNIMPLEMENTED,
  'the stand-in reads only the newest revision',
);
export const PATH_UNKNOWN = buildError(404, NOT_FOUND, 'Not Found');

export function buildInvalid(message: string): PlatformError {
  return buildError(400, INVALID_ARGUMENT, message);
}
