/** Checks that generated pages are up to date and that links point to existing files. */
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import path from 'node:path';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as Pages from './pages';

/** Lists the targets of relative links, without links to other sites and within the page. */
function listLinks(page: Pages.Page): readonly string[] {
  const matches = [...page.text.matchAll(/\]\(([^)\s]+)\)/g)];
  const targets = matches.map(([, target = '']) => target.replace(/#.*$/, ''));
  return targets.filter((target) => target !== '' && !/^[a-z]+:/.test(target));
}

describe('documentation', () => {
  it('has up-to-date generated pages', () => {
    const script = path.join(Pages.ROOT, 'scripts', 'write-catalogues.mjs');
    const result = spawnSync(process.execPath, [script, '--check'], { encoding: 'utf8' });
    expect(result.stderr).toEqual('');
    expect(result.status).toEqual(0);
  });

  it('has no broken links to files', () => {
    const broken = Pages.listPages().flatMap((page) => {
      const directory = path.join(Pages.ROOT, path.dirname(page.file));
      const missing = listLinks(page).filter((link) => !existsSync(path.join(directory, link)));
      return missing.map((link) => `${page.file}: ${link}`);
    });
    expect(broken).toEqual([]);
  });
});
