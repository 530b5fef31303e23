/** One generation in an engine: its output so far and the streams that read it. */
import * as Hashes from './hashes';
import * as Vocabulary from './vocabulary';

export type FinishReason = 'stop' | 'length';

export type GenerationState = 'waiting' | 'running' | 'finished' | 'stopped';

export interface GenerationUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

/** A reader of a generation; receives each token in order, then the end. */
export interface GenerationStream {
  /** Whether the reader consumes bytes more slowly than they are produced. */
  readonly isBlocked: () => boolean;
  readonly sendTokens: (ids: readonly number[], text: string, finish?: FinishReason) => void;
  readonly sendEnd: (finish: FinishReason, usage: GenerationUsage) => void;
  /** The generation was stopped: the stream ends without a finish reason. */
  readonly sendStopped: () => void;
}

export interface GenerationOptions {
  readonly requestId: string;
  readonly fencingNumber: number;
  readonly priority: number;
  readonly model: Vocabulary.ModelOptions;
  readonly promptIds: readonly number[];
  readonly maxTokens: number;
}

export interface Generation extends GenerationOptions {
  readonly getState: () => GenerationState;
  readonly getOutputIds: () => readonly number[];
  readonly getText: () => string;
  readonly getFinishReason: () => FinishReason | undefined;
  readonly getUsage: () => GenerationUsage;
  readonly isBlocked: () => boolean;
  readonly hasStreams: () => boolean;
  /** Moves from the waiting queue to a slot; `cachedTokens` of the prompt need no prefill. */
  readonly start: (cachedTokens: number) => void;
  /** Prefills up to `budget` tokens and returns how many it prefilled. */
  readonly runPrefill: (budget: number) => number;
  /** Whether prefill is complete, so that each step produces a token. */
  readonly isPrefilled: () => boolean;
  /** Produces one token or the end; returns the number of tokens produced. */
  readonly runStep: () => number;
  /** Ends the generation at once, without a finish reason. */
  readonly stop: () => void;
  /**
   * Sends all output tokens after the first `startingAfter`: earlier ones now, later ones as they
   * are produced.
   */
  readonly addStream: (stream: GenerationStream, startingAfter: number) => void;
  readonly removeStream: (stream: GenerationStream) => void;
}

/** Tokens in one chunk while a stream receives output that was produced before it was added. */
const CATCH_UP_CHUNK_TOKENS = 32;

export function createGeneration(options: GenerationOptions): Generation {
  const { promptIds, maxTokens, model } = options;
  const outputIds: number[] = [];
  const texts: string[] = [];
  const streams = new Set<GenerationStream>();
  let state: GenerationState = 'waiting';
  let finishReason: FinishReason | undefined;
  let cachedTokens = 0;
  let prefillLeft = promptIds.length;
  let hash = Vocabulary.hashSequence(model, promptIds);
  let lastId = promptIds.at(-1) ?? 0;

  function getUsage(): GenerationUsage {
    return { promptTokens: promptIds.length, completionTokens: outputIds.length, cachedTokens };
  }

  function recordFinish(reason: FinishReason): void {
    state = 'finished';
    finishReason = reason;
    for (const stream of streams) stream.sendEnd(reason, getUsage());
  }

  function addToken(id: number): void {
    const text = Vocabulary.decodeToken(id, outputIds.at(-1));
    outputIds.push(id);
    texts.push(text);
    hash = Hashes.hashNumber(hash, id);
    lastId = id;
    const isLast = outputIds.length === maxTokens;
    for (const stream of streams) stream.sendTokens([id], text, isLast ? 'length' : undefined);
    if (isLast) recordFinish('length');
  }

  function runStep(): number {
    const id = Vocabulary.computeNextToken(hash, lastId, model.endProbability);
    if (id === Vocabulary.END_OF_SEQUENCE) {
      for (const stream of streams) stream.sendTokens([], '', 'stop');
      recordFinish('stop');
      return 0;
    }
    addToken(id);
    return 1;
  }

  function sendProducedTokens(stream: GenerationStream, startingAfter: number): void {
    for (let from = startingAfter; from < outputIds.length; from += CATCH_UP_CHUNK_TOKENS) {
      const to = from + CATCH_UP_CHUNK_TOKENS;
      stream.sendTokens(outputIds.slice(from, to), texts.slice(from, to).join(''));
    }
  }

  function addStream(stream: GenerationStream, startingAfter: number): void {
    sendProducedTokens(stream, startingAfter);
    if (finishReason !== undefined) {
      stream.sendTokens([], '', finishReason);
      stream.sendEnd(finishReason, getUsage());
    } else if (state === 'stopped') stream.sendStopped();
    else streams.add(stream);
  }

  function stop(): void {
    if (state === 'finished' || state === 'stopped') return;
    state = 'stopped';
    for (const stream of streams) stream.sendStopped();
    streams.clear();
  }

  return {
    ...options,
    getState: () => state,
    getOutputIds: () => outputIds,
    getText: () => texts.join(''),
    getFinishReason: () => finishReason,
    getUsage,
    isBlocked: () => [...streams].some((stream) => stream.isBlocked()),
    hasStreams: () => streams.size > 0,
    start(cached) {
      state = 'running';
      cachedTokens = cached;
      prefillLeft = promptIds.length - cached;
    },
    runPrefill(budget) {
      const used = Math.min(budget, prefillLeft);
      prefillLeft -= used;
      return used;
    },
    isPrefilled: () => prefillLeft === 0,
    runStep,
    stop,
    addStream,
    removeStream: (stream) => {
      streams.delete(stream);
    },
  };
}
