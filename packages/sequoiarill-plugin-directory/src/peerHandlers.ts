/** Handlers of other routers' calls, which other plug-ins set after the server was created. */
import type {
  CrashHandlers,
  OriginHandlers,
  PartHandlers,
  RolloutGuidance,
  RouterPeers,
} from '@sequoiarill/types';

import type { PeerServerOptions } from './peerServer';

const NO_CRASH_HANDLERS: CrashHandlers = {
  handleCrashes: () => undefined,
  handleAnswers: () => undefined,
  handleBlocks: () => [],
};
const NO_ORIGIN_HANDLERS: OriginHandlers = {
  handleOrigins: () => undefined,
  handleOriginQuery: () => ({ kind: 'unknown' }),
};
const NO_PART_HANDLERS: PartHandlers = {
  handlePartCrashes: () => undefined,
  handlePartAnswers: () => undefined,
  handlePartQuery: async () => ({ answers: [], explainedTargets: [] }),
  handlePartBlocks: () => [],
};
const NO_GUIDANCE: RolloutGuidance = { isHalted: false, avoided: [] };

export type PeerHandlers = Pick<
  PeerServerOptions,
  | 'grantRetryQuota'
  | 'grantPermits'
  | 'handleReport'
  | 'handleBrittle'
  | 'handleContactQuery'
  | 'handleRoom'
  | 'recordRoomRefusal'
  | keyof CrashHandlers
  | keyof OriginHandlers
  | keyof PartHandlers
>;

export type HandlerSetters = Pick<
  RouterPeers,
  | 'setRetryQuotaLender'
  | 'setPermitsLender'
  | 'setReportHandler'
  | 'setBrittleHandler'
  | 'setContactHandler'
  | 'setRoomHandler'
  | 'setCrashHandlers'
  | 'setOriginHandlers'
  | 'setPartHandlers'
>;

/** Without a handler, nothing is granted and reports have no effect. */
export function createPeerHandlers(): {
  readonly handlers: PeerHandlers;
  readonly setters: HandlerSetters;
} {
  let grantQuota: Parameters<RouterPeers['setRetryQuotaLender']>[0] = () => 0;
  let grantPermits: Parameters<RouterPeers['setPermitsLender']>[0] = () => ({ permits: 0 });
  let handleReport: Parameters<RouterPeers['setReportHandler']>[0] = () => NO_GUIDANCE;
  let handleBrittle: Parameters<RouterPeers['setBrittleHandler']>[0] = () => undefined;
  let handleContactQuery: Parameters<RouterPeers['setContactHandler']>[0] = () => ({});
  let handleRoom: Parameters<RouterPeers['setRoomHandler']>[0] = () => [];
  let recordRoomRefusal: Parameters<RouterPeers['setRoomHandler']>[1];
  let crashHandlers = NO_CRASH_HANDLERS;
  let originHandlers = NO_ORIGIN_HANDLERS;
  let partHandlers = NO_PART_HANDLERS;
  return {
    handlers: {
      grantRetryQuota: (request) => grantQuota(request),
      grantPermits: (request) => grantPermits(request),
      handleReport: (report) => handleReport(report),
      handleBrittle: (report) => handleBrittle(report),
      handleContactQuery: (query) => handleContactQuery(query),
      handleRoom: (message) => handleRoom(message),
      recordRoomRefusal: (sender, reason) => recordRoomRefusal?.(sender, reason),
      handleCrashes: (crashes) => crashHandlers.handleCrashes(crashes),
      handleAnswers: (answers) => crashHandlers.handleAnswers(answers),
      handleBlocks: (blocks) => crashHandlers.handleBlocks(blocks),
      handleOrigins: (records) => originHandlers.handleOrigins(records),
      handleOriginQuery: (query) => originHandlers.handleOriginQuery(query),
      handlePartCrashes: (crashes) => partHandlers.handlePartCrashes(crashes),
      handlePartAnswers: (answers) => partHandlers.handlePartAnswers(answers),
      handlePartQuery: (query) => partHandlers.handlePartQuery(query),
      handlePartBlocks: (blocks) => partHandlers.handlePartBlocks(blocks),
    },
    setters: {
      setRetryQuotaLender(grant) {
        grantQuota = grant;
      },
      setPermitsLender(grant) {
        grantPermits = grant;
      },
      setReportHandler(handle) {
        handleReport = handle;
      },
      setBrittleHandler(handle) {
        handleBrittle = handle;
      },
      setContactHandler(handle) {
        handleContactQuery = handle;
      },
      setRoomHandler(handle, recordRefusal) {
        handleRoom = handle;
        recordRoomRefusal = recordRefusal;
      },
      setCrashHandlers(newHandlers) {
        crashHandlers = newHandlers;
      },
      setOriginHandlers(newHandlers) {
        originHandlers = newHandlers;
      },
      setPartHandlers(newHandlers) {
        partHandlers = newHandlers;
      },
    },
  };
}
