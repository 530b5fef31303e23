/** Splits the text of an event stream into events. */

const SEPARATOR = '\n\n';

export interface BlockSplitter {
  /** Returns the blocks that the text completes, without their separators. */
  readonly addText: (text: string) => readonly string[];
}

/**
 * A partial block is kept in pieces, and each piece is searched once: joining and searching the whole of it with each read
 * takes a time that grows with the square of its length.
 */
export function createBlockSplitter(): BlockSplitter {
  let pieces: string[] = [];
  /** The first half of a separator that may be cut between two reads. */
  let carried = '';

  return {
    addText(added) {
      const text = carried + added;
      const blocks: string[] = [];
      let start = 0;
      for (let end = text.indexOf(SEPARATOR); end >= 0; end = text.indexOf(SEPARATOR, start)) {
        blocks.push([...pieces, text.slice(start, end)].join(''));
        pieces = [];
        start = end + SEPARATOR.length;
      }
      carried = start < text.length && text.endsWith('\n') ? '\n' : '';
      const rest = text.slice(start, text.length - carried.length);
      if (rest !== '') pieces.push(rest);
      return blocks;
    },
  };
}
