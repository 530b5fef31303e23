import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as DocumentReader from '../documentReader';
import type { StoredDocument } from '../documentReader';
import * as SectionParser from '../sectionParser';

function createDocument(sections: Readonly<Record<string, object>>): StoredDocument {
  const stored = Object.entries(sections).map(([name, content]) => {
    const state = { revision: 3, writeId: '', at: '', author: '', text: JSON.stringify(content) };
    return [name, state] as const;
  });
  return { kind: 'document', revision: 5, latestRevision: 3, sections: new Map(stored) };
}

function listFaults(document: StoredDocument, section: string, content: object): readonly string[] {
  const edit = { section, text: JSON.stringify(content), file: 'new.json' };
  return DocumentReader.checkEdit(document, edit).map(SectionParser.formatFault);
}

const MODEL = { version: 'v1', contextTokens: 10_000 };
const ENGINE = { address: '10.0.0.1:80', models: ['advisor'], slots: 8 };
const VM = { zone: 'z1', engines: { 'engine-1': ENGINE } };

describe('checks of the full document', () => {
  it('finds names that are defined by two sections', () => {
    const key = { id: 'k1', salt: '00', hash: '0'.repeat(64) };
    const document = createDocument({
      a: {
        models: { advisor: MODEL },
        organisations: { shop: { keys: [key] } },
        vms: { 'vm-1': VM },
      },
    });
    const lines = listFaults(document, 'b', {
      models: { advisor: MODEL },
      organisations: { shop: { keys: [key] } },
      vms: { 'vm-1': VM },
    });
    const own = lines.filter((line) => line.startsWith('new.json'));
    expect(own).toEqual([
      'new.json: [b] models.advisor: model "advisor" is also claimed by [a] models.advisor; rename or remove one',
      'new.json: [b] organisations.shop: organisation "shop" is also claimed by [a] organisations.shop; rename or remove one',
      'new.json: [b] organisations.shop.keys.0.id: key id "k1" is also claimed by [a] organisations.shop.keys.0.id; rename or remove one',
      'new.json: [b] vms.vm-1: VM "vm-1" is also claimed by [a] vms.vm-1; rename or remove one',
      'new.json: [b] vms.vm-1.engines.engine-1: target "engine-1" is also claimed by [a] vms.vm-1.engines.engine-1; rename or remove one',
      'new.json: [b] vms.vm-1.engines.engine-1.address: address "10.0.0.1:80" is also claimed by [a] vms.vm-1.engines.engine-1.address; rename or remove one',
    ]);
  });

  it('rejects a change that removes a name used by another section', () => {
    const document = createDocument({
      a: { models: { advisor: MODEL } },
      b: { vms: { 'vm-1': VM } },
    });
    expect(listFaults(document, 'a', {})).toEqual([
      'platform: [b] vms.vm-1.engines.engine-1.models: unknown model "advisor"; add it to a section first or mend the name',
    ]);
  });

  it('accepts a change despite existing faults of other sections', () => {
    const document = createDocument({ a: { organisations: { shop: { models: ['ghost'] } } } });
    expect(listFaults(document, 'b', { models: { advisor: MODEL } })).toEqual([]);
  });

  it('rejects a limit above the capacity of all engines, but not the removal of engines', () => {
    const shop = { models: ['advisor'], limits: { concurrentRequests: 33 } };
    const document = createDocument({
      models: { models: { advisor: MODEL } },
      teams: { organisations: { shop } },
      vms: { vms: { 'vm-1': VM } },
    });
    expect(listFaults(document, 'teams', { organisations: { shop } })).toEqual([
      'new.json: [teams] organisations.shop.limits.concurrentRequests: 33 is above 32, which the 8 slots of its models can hold; lower it or add engines first',
    ]);
    expect(listFaults(document, 'vms', {})).toEqual([]);
  });

  it('finds faults of a file that do not depend on other sections', () => {
    const text = JSON.stringify({
      models: { small: { version: 'v1', contextTokens: 100 } },
      vms: { 'vm-1': VM, 'vm-2': VM },
    });
    const lines = DocumentReader.checkStandalone(text, 'x.json', 'x').map(
      SectionParser.formatFault,
    );
    expect(lines.length).toEqual(5);
    expect(lines[4]).toEqual(
      'x.json: [x] models.small.maxOutputTokens: 4096 is above contextTokens (100); lower it',
    );
  });

  it('rejects invalid JSON and text that is too long', () => {
    const [bad] = DocumentReader.checkStandalone('{', 'x.json', 'x');
    expect(bad?.reason.startsWith('no valid JSON')).toEqual(true);
    const [long] = DocumentReader.checkStandalone(' '.repeat(600_001), 'x.json', 'x');
    expect(long?.reason).toEqual('600001 bytes are above 600000; split the section in two');
  });
});
