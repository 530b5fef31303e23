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

/** Time passes at once: what is tested is the order of calls. */
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

/** A store that runs something right before one transaction, as a racing operator would. */
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
  it('writes a checked section and tells its revision', async () => {
    const { platform, createEditor } = createEditing();
    const outcome = await createEditor('ann').putSection(createEdit('v1'));
    expect(outcome).toEqual({ kind: 'written', revision: platform.get(KEY)?.revision ?? -1 });
    const again = await createEditor('ann').putSection(createEdit('v1'));
    expect(again.kind).toEqual('unchanged');
  });

  it('refuses a section with faults by file, section, key and reason, and changes nothing', async () => {
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

  it('lets one of two operators on one section win and shows the other the difference', async () => {
    // Story: two colleagues edit their team's section at once. Without a comparison the second write
    // would silently take the first one back, although it was accepted and in force.
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

  it('lets two operators on two sections both win', async () => {
    const { platform, createEditor } = createEditing();
    const raced = createRacedStore(platform.createStore(), () =>
      createEditor('ann').putSection(createEdit('v1', 'first', 'one')),
    );
    const outcome = await createEditor('bob', raced).putSection(createEdit('v1', 'second', 'two'));
    expect(outcome.kind).toEqual('written');
    expect(platform.get('sections/first') === undefined).toEqual(false);
  });

  it('lets twenty operators on twenty sections all win', async () => {
    // Story: at nine in the morning many teams edit at once. Each accepted edit makes the attempts of
    // all others fail; reading and checking everything anew each time, nobody would get through.
    const { platform, createEditor } = createEditing();
    const outcomes = await Promise.all(
      Array.from({ length: 20 }, (unused, index) =>
        createEditor(`editor-${index}`).putSection(
          createEdit('v1', `section-${index}`, `model-${index}`),
        ),
      ),
    );
    expect(outcomes.map(({ kind }) => kind)).toEqual(Array.from({ length: 20 }, () => 'written'));
    // Each attempt after the first reads the marker, the changed keys and what changed.
    expect(platform.getCalls().read <= 20 * 20 * 4).toEqual(true);
  });

  it('refuses the second of two sections that claim one name at the same moment', async () => {
    // Story: two teams add a model of the same name. Each text is right next to the document that
    // its editor read, and both writes would pass a comparison of their own section alone.
    const { platform, createEditor } = createEditing();
    const raced = createRacedStore(platform.createStore(), () =>
      createEditor('ann').putSection(createEdit('v1', 'first')),
    );
    const outcome = await createEditor('bob', raced).putSection(createEdit('v2', 'second'));
    expect(outcome.kind).toEqual('faults');
    expect(platform.get('sections/second')).toEqual(undefined);
  });

  it('finds out a write whose answer was lost and writes it once', async () => {
    // Story: the platform applies the edit and the answer is lost. Sending it again as new would
    // fill the history with copies, or undo what a colleague wrote in between.
    const { platform, createEditor } = createEditing();
    platform.faults.lostAnswers = 1;
    const outcome = await createEditor('ann').putSection(createEdit('v1'));
    expect(outcome).toEqual({ kind: 'written', revision: platform.get(KEY)?.revision ?? -1 });
    expect(platform.getCalls().write).toEqual(1);
  });

  it('finds out a lost write that a colleague has replaced since', async () => {
    const { platform, createEditor } = createEditing();
    const store = platform.createStore();
    const editor = createEditor('ann', {
      ...store,
      async writeTransaction(transaction) {
        platform.faults.lostAnswers = 1;
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

  it('says unknown when the answer was lost and the platform is then away', async () => {
    const { platform, createEditor } = createEditing();
    const store = platform.createStore();
    const editor = createEditor('ann', {
      ...store,
      async writeTransaction(transaction) {
        platform.faults.lostAnswers = 1;
        const outcome = await store.writeTransaction(transaction);
        platform.faults.isAway = true;
        return outcome;
      },
    });
    expect((await editor.putSection(createEdit('v1'))).kind).toEqual('unknown');
    expect((await editor.putSection(createEdit('v2'))).kind).toEqual('unavailable');
  });

  it('writes only over the revision that the operator names', async () => {
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
  it('reverts forward, as a new revision', async () => {
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

  it('does not revert over an edit that came in between', async () => {
    // Story: one operator reverts a bad change while another mends it. The revert was decided on
    // the bad text and must not take the mended one back.
    const { platform, createEditor } = createEditing();
    const first = await createEditor('ann').putSection(createEdit('v1'));
    await createEditor('ann').putSection(createEdit('bad'));
    const raced = createRacedStore(platform.createStore(), () =>
      createEditor('bob').putSection(createEdit('mended')),
    );
    const to = first.kind === 'written' ? first.revision : -1;
    expect((await createEditor('ann', raced).revertSection('models', to)).kind).toEqual('conflict');
  });

  it('keeps a text that was there before the commands were used', async () => {
    const { platform, createEditor } = createEditing();
    const revision = platform.write(KEY, Fixtures.formatModelSection('plain'));
    const editor = createEditor('ann');
    await editor.putSection(createEdit('v1'));
    const history = await editor.listHistory('models');
    expect(history?.map(({ text }) => text.includes('plain'))).toEqual([true, false]);
    expect(history?.[0]?.revision).toEqual(revision);
  });

  it('leaves out entries that were damaged', async () => {
    const { platform, createEditor } = createEditing();
    const editor = createEditor('ann');
    await editor.putSection(createEdit('v1'));
    platform.write(StoredSection.formatHistoryKey('models', 7), '{"packed":"no gzip"}');
    platform.write(StoredSection.formatHistoryKey('models', 8), 'no JSON');
    expect((await editor.listHistory('models'))?.length).toEqual(1);
  });

  it('stays bounded', async () => {
    const { createEditor } = createEditing();
    const editor = createEditor('ann');
    for (let count = 0; count < 60; count += 1) await editor.putSection(createEdit(`v${count}`));
    expect((await editor.listHistory('models'))?.length).toEqual(50);
  });
});
