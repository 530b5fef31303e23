/**
 * Decides who is paused, cut off and refused where a process holds bytes for callers that read or send slowly, and for
 * targets that do.
 *
 * Load pattern: hundreds of callers read long answers slowly or not at all, or the targets of a service take long for
 * large bodies. Held in full for each of them, the answers and bodies exceed the memory of the process, which ends with all
 * its requests.
 */

/** Bytes held for one caller. */
export interface HeldShare {
  readonly bytes: number;
  /**
   * Time for which its caller has neither taken nor sent a byte although it could, milliseconds; 0 for a sender
   * that this process has paused, and undefined where nothing waits for the caller.
   */
  readonly idleMs: number | undefined;
}

/** Bytes held in the whole process, and its budget. */
interface HeldBytes {
  readonly heldBytes: number;
  readonly limitBytes: number;
}

export interface HeldTotal extends HeldBytes {
  /** Of the bytes held, those of bodies that were sent to targets, and that only the end of their requests frees. */
  readonly sentBytes: number;
}

export interface HeldWhole extends HeldBytes {
  /** Of the bytes held, those of answers and events that are held until they are whole. */
  readonly wholeBytes: number;
}

/** Above this share of the budget, nothing is read ahead. */
const PAUSE_SHARE = 0.8;
/** Above this share, callers that have stalled are cut off. */
const STALL_SHARE = 0.5;
const STALL_MS = 10_000;
/** Above this share, no long answer or event is held until it is whole. */
const WHOLE_SHARE = 0.4;
/** Smaller bodies are taken even when the budget is used up. */
export const SMALL_BODY_BYTES = 65_536;

/** Answers and events up to this size are held until they are whole even when the budget is used up. */
export const SMALL_WHOLE_BYTES = 65_536;

const DEFAULT_LIMIT_MB = 32;
const MEMORY_SHARE = 0.25;
const BYTES_PER_MB = 1_048_576;

/** The budget in bytes, from the settings. */
export function computeHeldLimit(
  heldMegabytes: number | undefined,
  memoryMb: number | undefined,
): number {
  const fromMemoryMb = memoryMb === undefined ? DEFAULT_LIMIT_MB : memoryMb * MEMORY_SHARE;
  return (heldMegabytes ?? fromMemoryMb) * BYTES_PER_MB;
}

const DEFAULT_MAX_CONNECTIONS = 2_048;
/** Share of the descriptors for callers; other routers have half as many, and the rest is for targets and files. */
const CONNECTION_SHARE = 0.4;

/** Connections that the listener for callers keeps, from the settings. */
export function computeMaxConnections(
  maxConnections: number | undefined,
  maxDescriptors: number | undefined,
): number {
  const fromDescriptors =
    maxDescriptors === undefined
      ? DEFAULT_MAX_CONNECTIONS
      : Math.max(1, Math.floor(maxDescriptors * CONNECTION_SHARE));
  return maxConnections ?? fromDescriptors;
}

/** Whether readers and senders are paused. */
export function isPauseDue({ heldBytes, limitBytes }: HeldBytes): boolean {
  return heldBytes > limitBytes * PAUSE_SHARE;
}

/** Whether bodies that were sent take so much of the budget that a further one would only wait behind them. */
function isTakenBySent({ sentBytes, limitBytes }: HeldTotal): boolean {
  return sentBytes > limitBytes * PAUSE_SHARE;
}

/**
 * Whether an answer or event of which so much has arrived may be held on until it is whole.
 *
 * Failure: a target sends hundreds of answers without end at the same time. Each is within its own limit, and together they
 * exceed the memory of the process. Their callers have nothing to take yet, so none of them counts as slow.
 */
export function isWholeHeldOn(total: HeldWhole, bytes: number): boolean {
  if (bytes <= SMALL_WHOLE_BYTES) return true;
  return !isPauseDue(total) && total.wholeBytes <= total.limitBytes * WHOLE_SHARE;
}

/** Whether a request whose body has this size, or already has it, is refused at once. */
export function isBodyRefused(total: HeldTotal, bodyBytes: number | undefined): boolean {
  const isUsedUp = total.heldBytes >= total.limitBytes || isTakenBySent(total);
  return isUsedUp && bodyBytes !== undefined && bodyBytes > SMALL_BODY_BYTES;
}

/**
 * The senders to pause, of those whose bodies are incomplete, in the order of their arrival.
 *
 * Failure: bodies that are read in part use up the budget. If all their senders were paused, none would become
 * complete and free its bytes, so the first one goes on, unless bodies that were sent use up the budget: these end by
 * themselves, and one more would be added to them.
 */
export function selectPausedSenders<Sender>(
  total: HeldTotal,
  senders: readonly Sender[],
): readonly Sender[] {
  if (!isPauseDue(total)) return [];
  return isTakenBySent(total) ? senders : senders.slice(1);
}

/**
 * The callers to cut off, in the order of their arrival: those that have stalled while more than half of the
 * budget is used, and above the budget those that have been idle longest, until 0.8 of it is reached. Of equal
 * ones the last to arrive is cut first, since the others are closer to their end.
 */
export function selectCut<Share extends HeldShare>(
  { heldBytes, limitBytes }: HeldBytes,
  shares: readonly Share[],
): readonly Share[] {
  const isOver = heldBytes > limitBytes;
  if (heldBytes <= limitBytes * STALL_SHARE) return [];
  const slowest = shares
    .filter(({ bytes, idleMs }) => bytes > 0 && idleMs !== undefined)
    .reverse()
    .sort((left, right) => (right.idleMs ?? 0) - (left.idleMs ?? 0));
  const cut: Share[] = [];
  let leftBytes = heldBytes;
  for (const share of slowest) {
    const hasStalled = (share.idleMs ?? 0) >= STALL_MS && leftBytes > limitBytes * STALL_SHARE;
    const isTooMuch = isOver && leftBytes > limitBytes * PAUSE_SHARE;
    if (!hasStalled && !isTooMuch) break;
    cut.push(share);
    leftBytes -= share.bytes;
  }
  return cut;
}
