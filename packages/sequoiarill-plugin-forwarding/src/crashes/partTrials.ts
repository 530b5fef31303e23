/** Lets single requests with a blocked part through, to find out whether the part still crashes targets. */
import type { Clock, PartBlock } from '@sequoiarill/types';

export interface PartTrials {
  /** Whether enough time has passed since the last crash. */
  readonly isDue: (block: PartBlock) => boolean;
  /** Whether the request may be sent as the trial of the block; a request that was admitted stays so until then. */
  readonly admit: (block: PartBlock, requestId: string) => boolean;
  /** Records that the request is being sent: it is not sent once more as a trial. */
  readonly recordSend: (requestId: string) => void;
  /** The part was answered, or crashed a target. */
  readonly end: (part: string) => void;
}

/** Time without a crash before each trial. A part that fails all of them stays blocked until its block expires. */
const TRIAL_AFTER_MS = [120_000, 600_000, 3_000_000] as const;
/** Time after which another request may be the trial, where nothing came of one. */
const TRIAL_TIMEOUT_MS = 30_000;

interface Trial {
  readonly requestId: string;
  readonly startedAtMs: number;
  isSent: boolean;
}

export function createPartTrials({ getNowMs }: Pick<Clock, 'getNowMs'>): PartTrials {
  const trials = new Map<string, Trial>();

  function isDue({ lastAgeMs, failedTrials }: PartBlock): boolean {
    const afterMs = TRIAL_AFTER_MS[failedTrials];
    return afterMs !== undefined && lastAgeMs >= afterMs;
  }

  return {
    isDue,
    admit(block, requestId) {
      if (!isDue(block)) return false;
      const trial = trials.get(block.part);
      const nowMs = getNowMs();
      if (trial !== undefined && nowMs - trial.startedAtMs < TRIAL_TIMEOUT_MS) {
        return trial.requestId === requestId && !trial.isSent;
      }
      trials.set(block.part, { requestId, startedAtMs: nowMs, isSent: false });
      return true;
    },
    recordSend(requestId) {
      for (const trial of trials.values()) if (trial.requestId === requestId) trial.isSent = true;
    },
    end: (part) => trials.delete(part),
  };
}
