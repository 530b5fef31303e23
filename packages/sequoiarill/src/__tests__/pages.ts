/** Reads the pages of the repository for the tests that hold them against the code. */
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';

/** Four levels above the compiled test. */
export const ROOT = path.resolve(__dirname, '..', '..', '..', '..');

export interface Page {
  /** Relative to the root. */
  readonly file: string;
  readonly text: string;
}

export function readPage(file: string): Page {
  return { file, text: readFileSync(path.join(ROOT, file), 'utf8') };
}

/** The README and every page below docs. */
export function listPages(): readonly Page[] {
  const names = readdirSync(path.join(ROOT, 'docs'), { recursive: true, encoding: 'utf8' });
  const docs = names.filter((name) => name.endsWith('.md')).sort();
  return ['README.md', ...docs.map((name) => path.join('docs', name))].map(readPage);
}

/** Lines of fenced blocks, with continued lines joined, and spans of code in the text. */
export function listCode(page: Page): readonly string[] {
  const parts = page.text.split(/^```.*$/m);
  const blocks = parts.filter((_, index) => index % 2 === 1);
  const prose = parts.filter((_, index) => index % 2 === 0).join('\n');
  const lines = blocks.flatMap((block) => block.replace(/\\\n\s*/g, ' ').split('\n'));
  const spans = [...prose.matchAll(/`([^`]+)`/g)].map((match) => match[1] ?? '');
  return [...lines, ...spans.map((span) => span.replace(/\s+/g, ' '))];
}
