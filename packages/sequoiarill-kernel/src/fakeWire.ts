/** A `ForwardingWire` for tests: header names and formats that belong to no real platform. */
import type { ForwardingWire, HeaderNames } from '@sequoiarill/types';

const HEADERS: HeaderNames = {
  requestId: 'id',
  remainingMs: 'remaining',
  apiKey: 'key',
  organisation: 'organisation',
  expectedTarget: 'target',
  lastEventId: 'last',
  resumedRequestId: 'resumes',
  promptSize: 'size',
  promptParts: 'parts',
  backupTarget: 'backup',
  continueFrom: 'from',
  priority: 'priority',
  outputHint: 'hint',
  signature: 'signature',
  notRun: 'not-run',
  rateLimit: 'limit',
  targetId: 'target-id',
  leaving: 'leaving',
  brittle: 'brittle',
  retryAfter: 'retry-after',
};

/**
 * Returns a wire format whose decoders reject everything, except those that `overrides` replaces.
 */
export function createFakeWire(overrides: Partial<ForwardingWire> = {}): ForwardingWire {
  return {
    configurationKey: 'configuration',
    targetPrefix: 'targets/',
    ownPrefix: 'routers/',
    streamPrefix: 'streams/',
    decodeConfiguration: () => ({ kind: 'malformed', reason: 'no format' }),
    decodeTarget: () => ({ kind: 'malformed', reason: 'no format' }),
    rolloutPrefix: 'rollouts/',
    decodeRolloutOrder: () => ({ kind: 'malformed', reason: 'no format' }),
    formatRolloutStatusKey: (service) => `status/${service}`,
    encodeRolloutStatus: ({ state, toVersion }) => `${state} ${toVersion}`,
    headers: HEADERS,
    reservedHeaders: new Set(),
    essentialHeaders: new Set(),
    reportPath: '/report',
    decodeReport: () => undefined,
    decodePromptParts: () => [],
    cachedPartsPath: '/kept',
    decodeCachedParts: () => undefined,
    copyPath: '/copies',
    encodeCopyCommand: () => '',
    decodeCopyHandle: () => undefined,
    formatCopyPath: () => '',
    expectsContention: false,
    ...overrides,
  };
}
