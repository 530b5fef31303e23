/**
 * The stand-in model: computes the next token and decodes tokens to text.
 *
 * The next token is a pure function of the model's name, the fleet's seed and all token ids so far,
 * so an engine that receives the prompt and output of another engine continues with the same
 * tokens.
 */
import * as Hashes from './hashes';

export const END_OF_SEQUENCE = 2;

const WORD_BASE = 1_000;
const LEAD_BASE = 3_000;
const TRAIL_BASE = 4_000;
const LEAD_PROBABILITY = 0.06;
const REPLACEMENT_CHARACTER = '\uFFFD';

const WORDS = (
  'the a size fits door sensor jacket shoe sleeve waist collar hinge motor belt repair visit order ' +
  'label return stock wide narrow long short medium large small warm cold open closed left right ' +
  'front back early late since after before when because while which that this these with without ' +
  'from into over under about between measure check choose replace adjust recommend suggest renew ' +
  'contract report history customer technician garment customer fabric stretch cotton wool leather'
).split(' ');

/**
 * Each takes more than one byte in UTF-8, so that a real tokeniser may split it into two tokens.
 */
const CHARACTERS = ['ð', 'þ', 'ö', 'æ', 'é', 'ß', '✓', '€', '🚪', '👟', '😀', '❄'];

const END_SALT = 0x51;
const KIND_SALT = 0x52;
const CHOICE_SALT = 0x53;

export interface ModelOptions {
  readonly model: string;
  /** Shared by the fleet: engines with the same seed and model name generate the same tokens. */
  readonly seed: number;
  /** Probability that the sequence ends at any given token; 0 disables it. */
  readonly endProbability: number;
}

/** Computes the rolling hash over the given ids, the input of `computeNextToken`. */
export function hashSequence(options: ModelOptions, ids: readonly number[]): number {
  let hash = Hashes.hashText(options.model, options.seed);
  for (const id of ids) hash = Hashes.hashNumber(hash, id);
  return hash;
}

/** Computes the token after a sequence that has this rolling hash and ends with `lastId`. */
export function computeNextToken(hash: number, lastId: number, endProbability: number): number {
  if (isLeadToken(lastId)) return lastId - LEAD_BASE + TRAIL_BASE;
  if (Hashes.computeFraction(Hashes.hashNumber(hash, END_SALT)) < endProbability) {
    return END_OF_SEQUENCE;
  }
  const choice = Hashes.hashNumber(hash, CHOICE_SALT);
  const isCharacter = Hashes.computeFraction(Hashes.hashNumber(hash, KIND_SALT)) < LEAD_PROBABILITY;
  if (isCharacter) return LEAD_BASE + (choice % CHARACTERS.length);
  return WORD_BASE + (choice % WORDS.length);
}

/** Whether the token is the first half of a character that the next token completes. */
export function isLeadToken(id: number): boolean {
  return id >= LEAD_BASE && id < LEAD_BASE + CHARACTERS.length;
}

function isTrailToken(id: number): boolean {
  return id >= TRAIL_BASE && id < TRAIL_BASE + CHARACTERS.length;
}

/**
 * Returns the text that a token adds after the previous output token of the same request.
 *
 * The second half of a character whose first half is in the prompt decodes to U+FFFD: real engines
 * decode only their own output, so a continuation must not start within a character.
 */
export function decodeToken(id: number, previousId: number | undefined): string {
  if (isLeadToken(id)) return '';
  if (isTrailToken(id)) {
    const completes = previousId !== undefined && previousId - LEAD_BASE === id - TRAIL_BASE;
    return completes ? (CHARACTERS[id - TRAIL_BASE] ?? '') : REPLACEMENT_CHARACTER;
  }
  return id >= WORD_BASE && id < WORD_BASE + WORDS.length ? ` ${WORDS[id - WORD_BASE]}` : '';
}

export interface ExpectedOutput {
  readonly ids: readonly number[];
  readonly text: string;
  readonly finishReason: 'stop' | 'length';
}

/** Computes the output that an engine must produce for a prompt, as the reference for tests. */
export function computeOutput(
  options: ModelOptions,
  promptIds: readonly number[],
  maxTokens: number,
): ExpectedOutput {
  const ids: number[] = [];
  let text = '';
  let hash = hashSequence(options, promptIds);
  let lastId = promptIds.at(-1) ?? 0;
  while (ids.length < maxTokens) {
    const id = computeNextToken(hash, lastId, options.endProbability);
    if (id === END_OF_SEQUENCE) return { ids, text, finishReason: 'stop' };
    text += decodeToken(id, ids.at(-1));
    ids.push(id);
    hash = Hashes.hashNumber(hash, id);
    lastId = id;
  }
  return { ids, text, finishReason: 'length' };
}
