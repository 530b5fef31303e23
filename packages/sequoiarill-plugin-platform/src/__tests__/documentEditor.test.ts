import { describe, it } from 'node:test';

import type { KeyTransaction } from '@sequoiarill/types';
import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as DocumentEditors from '../documentEditor';
import type { PlatformStore } from '../keyValueStore';
import * as StoredSection from '../storedSection';
import * as Platforms from './fakePlatform';
import * as Fixtures from './fixtures';

const KEY = `${StoredSection.SECTIONS_PREFIX}models`;

/** Uses a clock that does not wait, because these tests depend only on the order of calls. */
function createEditing() {
  const clock = { ...Kernel.createFakeClock(), waitMs: () => Promise.resolve() };
  const platform = Platforms.createFakePlatform(clock);
  const createEditor = (author: string, store: PlatformStore = platform.createStore()) =>
    DocumentEditors.createDocumentEditor({
      store,
      clock,
      nextRandom: Fixtures.createRandom(author.length),
      author,
    });
  return { platform, createEditor };
}

function createEdit(version: string, section = 'models', name = 'advisor') {
  return { section, text: Fixtures.formatModelSection(version, name), file: `${section}.json` };
}

/**
 * Creates a store that calls `run` right before its first transaction, like a concurrent operator.
 */
function createRacedStore(store: PlatformStore, run: () => Promise<unknown>): PlatformStore {
  let isRun = false;
  return {
    ...store,
    async writeTransaction(transaction: KeyTransaction) {
      if (!isRun) {
        isRun = true;
        await run();
      }
      return store.writeTransaction(transaction);
    },
  };
}

describe('editing a section', () => {
  it('writes a valid section and returns its revision', async () => {
    const { platform, createEditor } = createEditing();
    const outcome = await createEditor('ann').putSection(createEdit('v1'));
    expect(outcome).toEqual({ kind: 'written', revision: platform.get(KEY)?.revision ?? -1 });
    const again = await createEditor('ann').putSection(createEdit('v1'));
    expect(again.kind).toEqual('unchanged');
  });

  it('rejects an invalid section with file, section, key and reason, and writes nothing', async () => {
    const { platform, createEditor } = createEditing();
    const text = JSON.stringify({
      organisations: { shop: { models: ['ghost'], weight: -1 } },
      vmz: {},
    });
    const outcome = await createEditor('ann').putSection({ section: 'a', text, file: 'a.json' });
    expect(outcome.kind === 'faults' ? outcome.faults.map(({ path }) => path) : []).toEqual([
      'organisations.shop.weight',
      'vmz',
    ]);
    const second = await createEditor('ann').putSection({
      section: 'a',
      text: text.replace('-1', '1').replace(',"vmz":{}', ''),
      file: 'a.json',
    });
    expect(second).toEqual({
      kind: 'faults',
      faults: [
        {
          file: 'a.json',
          section: 'a',
          path: 'organisations.shop.models',
          reason: 'unknown model "ghost"; add it to a section first or mend the name',
        },
      ],
    });
    expect(platform.getCalls().write).toEqual(0);
  });

  it('accepts one of two concurrent edits of a section and shows the difference to the other operator', async () => {
    // Failure: two operators edit the same section concurrently. Without a comparison, the second
    // write would silently revert the first, although it was accepted and in effect.
    const { platform, createEditor } = createEditing();
    await createEditor('ann').putSection(createEdit('v1'));
    const raced = createRacedStore(platform.createStore(), () =>
      createEditor('ann').putSection(createEdit('v2')),
    );
    expect(await createEditor('bob', raced).putSection(createEdit('v3'))).toEqual({
      kind: 'conflict',
      revision: platform.get(KEY)?.revision ?? -1,
      author: 'ann',
      differences: [{ kind: 'changed', path: 'models.advisor.version', before: 'v2', after: 'v3' }],
    });
  });

  it('accepts concurrent edits of two sections', async () => {
    const { platform, createEditor } = createEditing();
    const raced = createRacedStore(platform.createStore(), () =>
      createEditor('ann').putSection(createEdit('v1', 'first', 'one')),
    );
    const outcome = await createEditor('bob', raced).putSection(createEdit('v1', 'second', 'two'));
    expect(outcome.kind).toEqual('written');
    expect(platform.get('sections/first') === undefined).toEqual(false);
  });

  it('accepts concurrent edits of twenty sections', async () => {
    // Failure: many teams edit at the same time. Each accepted edit fails the attempts of all
    // others; if each attempt read and checked the full document again, none would succeed.
    const { platform, createEditor } = createEditing();
    const outcomes = await Promise.all(
      Array.from({ length: 20 }, (unused, index) =>
        createEditor(`editor-${index}`).putSection(
          createEdit('v1', `section-${index}`, `model-${index}`),
        ),
      ),
    );
    expect(outcomes.map(({ kind }) => kind)).toEqual(Array.from({ length: 20 }, () => 'written'));
    // Each attempt after the first reads the marker, the changed keys and the changed sections.
    expect(platform.getCalls().read <= 20 * 20 * 4).toEqual(true);
  });

  it('rejects the second of two concurrent edits that define the same name', async () => {
    // Failure: two teams add a model of the same name. Each text is valid against the document that
    // its editor read, and each write would pass if only its own section were compared.
    const { platform, createEditor } = createEditing();
    const raced = createRacedStore(platform.createStore(), () =>
      createEditor('ann').putSection(createEdit('v1', 'first')),
    );
    const outcome = await createEditor('bob', raced).putSection(createEdit('v2', 'second'));
    expect(outcome.kind).toEqual('faults');
    expect(platform.get('sections/second')).toEqual(undefined);
  });

  it('detects a write whose response was lost and does not repeat it', async () => {
    // Failure: the platform applies the edit and the response is lost. Writing it again as a new
    // edit would duplicate history entries, or revert what another operator wrote in between.
    const { platform, createEditor } = createEditing();
    platform.faults.lostResponses = 1;
    const outcome = await createEditor('ann').putSection(createEdit('v1'));
    expect(outcome).toEqual({ kind: 'written', revision: platform.get(KEY)?.revision ?? -1 });
    expect(platform.getCalls().write).toEqual(1);
  });

  it('detects a write whose response was lost after another operator replaced it', async () => {
    const { platform, createEditor } = createEditing();
    const store = platform.createStore();
    const editor = createEditor('ann', {
      ...store,
      async writeTransaction(transaction) {
        platform.faults.lostResponses = 1;
        const outcome = await store.writeTransaction(transaction);
        await createEditor('bob').putSection(createEdit('v2'));
        return outcome;
      },
    });
    const outcome = await editor.putSection(createEdit('v1'));
    const history = await createEditor('ann').listHistory('models');
    expect(history?.map(({ author }) => author)).toEqual(['ann', 'bob']);
    expect(outcome).toEqual({ kind: 'written', revision: history?.[0]?.revision ?? -1 });
  });

  it('reports an unknown outcome when the response was lost and an outage follows', async () => {
    const { platform, createEditor } = createEditing();
    const store = platform.createStore();
    const editor = createEditor('ann', {
      ...store,
      async writeTransaction(transaction) {
        platform.faults.lostResponses = 1;
        const outcome = await store.writeTransaction(transaction);
        platform.faults.isDown = true;
        return outcome;
      },
    });
    expect((await editor.putSection(createEdit('v1'))).kind).toEqual('unknown');
    expect((await editor.putSection(createEdit('v2'))).kind).toEqual('unavailable');
  });

  it('writes only over the revision that the operator specifies', async () => {
    const { createEditor } = createEditing();
    const first = await createEditor('ann').putSection(createEdit('v1'));
    const revision = first.kind === 'written' ? first.revision : -1;
    await createEditor('bob').putSection(createEdit('v2'));
    const late = await createEditor('ann').putSection({
      ...createEdit('v3'),
      ifRevision: revision,
    });
    expect(late.kind).toEqual('conflict');
  });
});

describe('history of a section', () => {
  it('reverts to an earlier text by a new revision', async () => {
    const { createEditor } = createEditing();
    const editor = createEditor('ann');
    const first = await editor.putSection(createEdit('v1'));
    await editor.putSection(createEdit('v2'));
    const to = first.kind === 'written' ? first.revision : -1;
    const outcome = await editor.revertSection('models', to);
    const history = await editor.listHistory('models');
    expect(history?.map(({ text }) => text.includes('v1'))).toEqual([true, false, true]);
    expect(outcome).toEqual({ kind: 'written', revision: history?.at(-1)?.revision ?? -1 });
    expect((await editor.revertSection('models', 1)).kind).toEqual('noSuchRevision');
  });

  it('does not revert over a concurrent edit', async () => {
    // Failure: one operator reverts a faulty change while another corrects it. The revert was based
    // on the faulty text and must not overwrite the corrected one.
    const { platform, createEditor } = createEditing();
    const first = await createEditor('ann').putSection(createEdit('v1'));
    await createEditor('ann').putSection(createEdit('bad'));
    const raced = createRacedStore(platform.createStore(), () =>
      createEditor('bob').putSection(createEdit('mended')),
    );
    const to = first.kind === 'written' ? first.revision : -1;
    expect((await createEditor('ann', raced).revertSection('models', to)).kind).toEqual('conflict');
  });

  it('contains a text that was written without the commands', async () => {
    const { platform, createEditor } = createEditing();
    const revision = platform.write(KEY, Fixtures.formatModelSection('plain'));
    const editor = createEditor('ann');
    await editor.putSection(createEdit('v1'));
    const history = await editor.listHistory('models');
    expect(history?.map(({ text }) => text.includes('plain'))).toEqual([true, false]);
    expect(history?.[0]?.revision).toEqual(revision);
  });

  it('skips damaged entries', async () => {
    const { platform, createEditor } = createEditing();
    const editor = createEditor('ann');
    await editor.putSection(createEdit('v1'));
    platform.write(StoredSection.formatHistoryKey('models', 7), '{"packed":"no gzip"}');
    platform.write(StoredSection.formatHistoryKey('models', 8), 'no JSON');
    expect((await editor.listHistory('models'))?.length).toEqual(1);
  });

  it('is limited to 50 entries', async () => {
    const { createEditor } = createEditing();
    const editor = createEditor('ann');
    for (let count = 0; count < 60; count += 1) await editor.putSection(createEdit(`v${count}`));
    expect((await editor.listHistory('models'))?.length).toEqual(50);
  });
});
