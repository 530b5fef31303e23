/** One response from its first token to its end, independent of the connections that read it. */
import type { GenerationOutcome, TokenBatch } from '@sequoiarill/types';

import * as GenerationRuns from './generationRun';
import type { GenerationRun, GenerationStep } from './generationRun';
import * as ResponseEvents from './responseEvents';
import type { ResponseIdentity, ResponseView } from './responseEvents';
import * as ResponseLogs from './responseLog';
import type { ResponseLog } from './responseLog';

export interface LiveResponse {
  readonly identity: ResponseIdentity;
  readonly organisation: string;
  readonly isStreamed: boolean;
  readonly log: ResponseLog;
  readonly getView: () => ResponseView;
  readonly getTokens: () => number;
  /** Kept of it: events, text, instructions. */
  readonly getBytes: () => number;
  /** Stops the generation; the events that say so still follow. */
  readonly cancel: () => void;
  /** Resolves with the outcome, once the last event is in the log. */
  readonly ended: Promise<GenerationOutcome>;
}

export interface LiveResponseOptions {
  readonly identity: ResponseIdentity;
  readonly organisation: string;
  readonly run: GenerationRun;
  /** The step of `run` that was awaited before anything was written. */
  readonly firstStep: GenerationStep;
  /** Its signal is the one `run` was started with. */
  readonly controller: AbortController;
  readonly signSequence: (sequence: number) => string;
  /** Events are kept for a streamed response only; without them there is nothing to resume. */
  readonly isStreamed: boolean;
  /** Whether the generation may go on, or must wait for a reader. */
  readonly hasRoom: (log: ResponseLog) => boolean;
  readonly recordBytes: (change: number) => void;
  /** Told of a generation that threw. */
  readonly recordFault: (error: unknown) => void;
}

const BROKEN: GenerationOutcome = {
  kind: 'lost',
  message: 'The router met a fault of its own.',
  usage: { promptTokens: 0, completionTokens: 0 },
  retryAfterSeconds: 1,
};

export function createLiveResponse(options: LiveResponseOptions): LiveResponse {
  const { identity, controller, hasRoom, isStreamed, organisation } = options;
  const { recordBytes, recordFault } = options;
  const events = ResponseEvents.createResponseEvents(identity, options.signSequence);
  const log = ResponseLogs.createResponseLog(recordBytes);
  let text = '';
  let ownBytes = 0;
  let tokens = 0;
  let outcome: GenerationOutcome | undefined;

  function addOwnBytes(kept: string): void {
    const bytes = Buffer.byteLength(kept);
    ownBytes += bytes;
    recordBytes(bytes);
  }

  function addBatch(batch: TokenBatch): void {
    tokens += batch.tokenCount;
    text += batch.text;
    addOwnBytes(batch.text);
    if (batch.text === '' || !isStreamed) return;
    log.addEvent(events.formatDelta(batch.text));
  }

  /**
   * A reader that is far behind, or no reader while much is kept, holds the generation back: the
   * engine is not read from, and memory stays bounded. Nothing unread is ever dropped instead,
   * since that would be missing from the caller's answer.
   */
  async function waitForRoom(): Promise<void> {
    while (!controller.signal.aborted && !hasRoom(log)) await log.waitForReaders();
  }

  async function readSteps(run: GenerationRun, first: GenerationStep): Promise<GenerationOutcome> {
    let step = first;
    while (step.done !== true) {
      addBatch(step.value);
      if (!hasRoom(log)) await waitForRoom();
      const isCancelled = controller.signal.aborted;
      step = isCancelled ? await run.return(GenerationRuns.CANCELLED) : await run.next();
    }
    return step.value;
  }

  /**
   * A generation that throws is a fault of the program; without an end its readers would hang. The
   * run is an argument, so that what it holds, the prompt above all, is free once it has ended.
   */
  async function runToEnd(run: GenerationRun, first: GenerationStep): Promise<GenerationOutcome> {
    outcome = await readSteps(run, first).catch((error: unknown): GenerationOutcome => {
      recordFault(error);
      return BROKEN;
    });
    if (isStreamed) events.formatEnd(text, outcome).forEach(log.addEvent);
    log.close();
    return outcome;
  }

  controller.signal.addEventListener('abort', log.wakeWaiting, { once: true });
  addOwnBytes(identity.request.instructions ?? '');
  if (isStreamed) events.formatOpening().forEach(log.addEvent);
  return {
    identity,
    organisation,
    isStreamed,
    log,
    getView: () => (outcome === undefined ? { text } : { text, outcome }),
    getTokens: () => tokens,
    cancel: () => controller.abort(),
    getBytes: () => log.getBytes() + ownBytes,
    ended: runToEnd(options.run, options.firstStep),
  };
}
