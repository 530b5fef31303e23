/** A response from its first token to its end, independent of the connections that read it. */
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
  /** Retained bytes of events, text and instructions. */
  readonly getBytes: () => number;
  /** Stops the generation; the final events are still added to the log. */
  readonly cancel: () => void;
  /** Resolves with the outcome once the last event is in the log. */
  readonly ended: Promise<GenerationOutcome>;
}

export interface LiveResponseOptions {
  readonly identity: ResponseIdentity;
  readonly organisation: string;
  readonly run: GenerationRun;
  /** First step of `run`, which was awaited before anything was written. */
  readonly firstStep: GenerationStep;
  /** Controller of the signal that `run` was started with. */
  readonly controller: AbortController;
  readonly signEventId: (sequence: number) => string;
  /** Events are stored for streamed responses only, so only these can be resumed. */
  readonly isStreamed: boolean;
  /** Whether the generation may continue; otherwise it waits for a reader. */
  readonly hasCapacity: (log: ResponseLog) => boolean;
  readonly recordSizeChange: (change: number) => void;
  /** Called if the generation throws. */
  readonly recordFailure: (error: unknown) => void;
}

const INTERNAL_FAILURE: GenerationOutcome = {
  kind: 'lost',
  message: 'The router met a fault of its own.',
  usage: { promptTokens: 0, completionTokens: 0 },
  retryAfterSeconds: 1,
};

export function createLiveResponse(options: LiveResponseOptions): LiveResponse {
  const { identity, controller, hasCapacity, isStreamed, organisation } = options;
  const { recordSizeChange, recordFailure } = options;
  const events = ResponseEvents.createResponseEvents(identity, options.signEventId);
  const log = ResponseLogs.createResponseLog(recordSizeChange);
  let text = '';
  let textBytes = 0;
  let tokens = 0;
  let outcome: GenerationOutcome | undefined;

  function addTextBytes(retainedText: string): void {
    const bytes = Buffer.byteLength(retainedText);
    textBytes += bytes;
    recordSizeChange(bytes);
  }

  function addBatch(batch: TokenBatch): void {
    tokens += batch.tokenCount;
    text += batch.text;
    addTextBytes(batch.text);
    if (batch.text === '' || !isStreamed) return;
    log.addEvent(events.formatDelta(batch.text));
  }

  /**
   * Pauses the generation while a reader is far behind, or while there is no reader and much is
   * retained: nothing is read from the engine, so memory stays bounded. Unread events are never
   * dropped instead, since they would be missing from the caller's answer.
   */
  async function waitForCapacity(): Promise<void> {
    while (!controller.signal.aborted && !hasCapacity(log)) await log.waitForReaders();
  }

  async function readSteps(run: GenerationRun, first: GenerationStep): Promise<GenerationOutcome> {
    let step = first;
    while (step.done !== true) {
      addBatch(step.value);
      if (!hasCapacity(log)) await waitForCapacity();
      const isCancelled = controller.signal.aborted;
      step = isCancelled ? await run.return(GenerationRuns.CANCELLED) : await run.next();
    }
    return step.value;
  }

  /**
   * Turns an exception of the generation, which is a bug, into an outcome; without one its readers
   * would hang. The run is passed as an argument so that its memory, mainly the prompt, can be
   * freed once it has ended.
   */
  async function runToEnd(run: GenerationRun, first: GenerationStep): Promise<GenerationOutcome> {
    outcome = await readSteps(run, first).catch((error: unknown): GenerationOutcome => {
      recordFailure(error);
      return INTERNAL_FAILURE;
    });
    if (isStreamed) events.formatEnd(text, outcome).forEach(log.addEvent);
    log.close();
    return outcome;
  }

  controller.signal.addEventListener('abort', log.resumeWaiters, { once: true });
  addTextBytes(identity.request.instructions ?? '');
  if (isStreamed) events.formatOpening().forEach(log.addEvent);
  return {
    identity,
    organisation,
    isStreamed,
    log,
    getView: () => (outcome === undefined ? { text } : { text, outcome }),
    getTokens: () => tokens,
    cancel: () => controller.abort(),
    getBytes: () => log.getBytes() + textBytes,
    ended: runToEnd(options.run, options.firstStep),
  };
}
