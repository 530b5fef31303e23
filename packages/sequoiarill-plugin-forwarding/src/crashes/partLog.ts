/** Logs and counts how parts of prompts that crash targets are found, and what begins after that. */
import type { EvidenceStrength } from '@sequoiarill/decisions';
import type { Clock, Metrics, PartBlock } from '@sequoiarill/types';

import * as MetricNames from '../metrics';
import type { RateLimitedLog } from '../rateLimitedLog';
import * as PartEvents from './partEvents';
import type { PartRun } from './partRuns';

export type InquiryOutcome = 'blocked' | 'cleared' | 'known';

export interface InquiryRecord {
  readonly part: string;
  readonly strength: EvidenceStrength;
  /** Time of the crash that was enough, monotonic milliseconds. */
  readonly startedMs: number;
  /** Addresses of routers that have not replied. */
  readonly unanswered: ReadonlySet<string>;
}

export interface PartLog {
  readonly logInquiry: (outcome: InquiryOutcome, record: InquiryRecord) => void;
  /** Logs the first event of the run where its request is blocked by then. */
  readonly addToRun: (
    run: PartRun,
    request: string,
    listBlocks: () => readonly PartBlock[],
  ) => PartRun;
}

export interface PartLogOptions {
  readonly clock: Pick<Clock, 'getNowMs'>;
  readonly log: Pick<RateLimitedLog, 'logEvent'>;
  readonly metrics: Pick<Metrics, 'addCount' | 'recordTiming'>;
}

export function createPartLog({ clock, log, metrics }: PartLogOptions): PartLog {
  return {
    logInquiry(outcome, { part, strength, startedMs, unanswered }) {
      const tookMs = Math.round(clock.getNowMs() - startedMs);
      const fields = { part, outcome, strength, tookMs, unanswered: [...unanswered] };
      log.logEvent(PartEvents.PART_INQUIRED, fields);
      metrics.recordTiming(MetricNames.PART_INQUIRY, tookMs, { outcome });
    },
    addToRun(run, request, listBlocks) {
      const sentAtMs = clock.getNowMs();
      let hasBegun = false;

      function logBegun(): void {
        const [block] = listBlocks();
        if (block === undefined) return;
        const sentAgoMs = Math.round(clock.getNowMs() - sentAtMs);
        log.logEvent(PartEvents.PART_BEGUN, { request, part: block.part, sentAgoMs });
        metrics.addCount(MetricNames.PART_BEGUN, 1, { part: block.part });
      }

      return {
        ...run,
        recordEvent() {
          if (!hasBegun) logBegun();
          hasBegun = true;
          run.recordEvent();
        },
      };
    },
  };
}
