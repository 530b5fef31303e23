/**
 * Finds stop sequences in streamed text. They apply to the answer as a whole: a sequence may begin in
 * the last text of a lost engine and end in the first text of the next one.
 */

export interface StopScan {
  /** Text that can no longer be part of a stop sequence. */
  readonly released: string;
  readonly stopped: boolean;
}

export interface StopScanner {
  readonly addText: (text: string) => StopScan;
  /** Returns the text held back as a possible stop sequence; called when the answer has ended. */
  readonly takeHeldText: () => string;
}

export function createStopScanner(stops: readonly string[]): StopScanner {
  let heldText = '';

  function addText(text: string): StopScan {
    const buffered = heldText + text;
    const firstStop = findFirstStop(buffered, stops);
    if (firstStop !== undefined) {
      heldText = '';
      return { released: buffered.slice(0, firstStop), stopped: true };
    }
    const heldLength = computeHeldLength(buffered, stops);
    heldText = buffered.slice(buffered.length - heldLength);
    return { released: buffered.slice(0, buffered.length - heldLength), stopped: false };
  }

  function takeHeld(): string {
    const rest = heldText;
    heldText = '';
    return rest;
  }

  if (stops.length === 0) {
    return { addText: (text) => ({ released: text, stopped: false }), takeHeldText: () => '' };
  }
  return { addText, takeHeldText: takeHeld };
}

function findFirstStop(text: string, stops: readonly string[]): number | undefined {
  const found = stops.map((stop) => text.indexOf(stop)).filter((index) => index >= 0);
  return found.length === 0 ? undefined : Math.min(...found);
}

/** Length of the longest suffix of the text that is a prefix of a stop sequence. */
function computeHeldLength(text: string, stops: readonly string[]): number {
  const longest = Math.max(...stops.map((stop) => stop.length - 1));
  for (let length = Math.min(longest, text.length); length > 0; length -= 1) {
    const end = text.slice(text.length - length);
    if (stops.some((stop) => stop.startsWith(end))) return length;
  }
  return 0;
}
