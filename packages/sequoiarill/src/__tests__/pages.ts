/** Reads the documentation pages for tests that compare them with the code. */
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';

/** Root of the repository, four levels above the compiled test. */
export const ROOT = path.resolve(__dirname, '..', '..', '..', '..');

export interface Page {
  /** Path relative to the root of the repository. */
  readonly file: string;
  readonly text: string;
}

export function readPage(file: string): Page {
  return { file, text: readFileSync(path.join(ROOT, file), 'utf8') };
}

/** Lists the README and all pages below `docs`. */
export function listPages(): readonly Page[] {
  const names = readdirSync(path.join(ROOT, 'docs'), { recursive: true, encoding: 'utf8' });
  const docs = names.filter((name) => name.endsWith('.md')).sort();
  return ['README.md', ...docs.map((name) => path.join('docs', name))].map(readPage);
}

/** Lists the lines of fenced code blocks, with continuation lines joined, and inline code spans. */
export function listCode(page: Page): readonly string[] {
  const parts = page.text.split(/^```.*$/m);
  const blocks = parts.filter((_, index) => index % 2 === 1);
  const prose = parts.filter((_, index) => index % 2 === 0).join('\n');
  const lines = blocks.flatMap((block) => block.replace(/\\\n\s*/g, ' ').split('\n'));
  const spans = [...prose.matchAll(/`([^`]+)`/g)].map((match) => match[1] ?? '');
  return [...lines, ...spans.map((span) => span.replace(/\s+/g, ' '))];
}
