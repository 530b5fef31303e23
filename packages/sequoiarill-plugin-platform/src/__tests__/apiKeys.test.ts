import { describe, it } from 'node:test';

import * as Kernel from '@sequoiarill/kernel';
import { expect } from 'earl';

import * as Builder from '../configurationBuilder';
import * as DocumentSchema from '../documentSchema';

function buildWithKeys(keys: Readonly<Record<string, readonly object[]>>) {
  const organisations = Object.fromEntries(
    Object.entries(keys).map(([name, records]) => [name, { keys: records }]),
  );
  const content = DocumentSchema.sectionSchema.parse({ organisations });
  return Builder.buildConfiguration(1, new Map([['a', Builder.buildItems(content)]]), new Map());
}

describe('API keys', () => {
  it('are accepted only for their own organisation', () => {
    const [first, second] = [Kernel.createKeyRecord(), Kernel.createKeyRecord()];
    const configuration = buildWithKeys({ shop: [first.record], doors: [second.record] });
    expect(Kernel.verifyKey(configuration, first.presented)?.organisation.name).toEqual('shop');
    expect(Kernel.verifyKey(configuration, second.presented)?.organisation.name).toEqual('doors');
    const [, , secret] = second.presented.split('_');
    const crossed = `sqr_${first.record.id}_${secret}`;
    expect(Kernel.verifyKey(configuration, crossed)).toEqual(undefined);
  });

  it('are rejected if malformed, unknown or wrong', () => {
    const { presented, record } = Kernel.createKeyRecord();
    const configuration = buildWithKeys({ shop: [record] });
    const bad = ['', 'sqr_', `${presented}0`, `x${presented}`, 'sqr_00_00', presented.slice(0, -1)];
    bad.forEach((key) => expect(Kernel.verifyKey(configuration, key)).toEqual(undefined));
  });

  it('are not contained in the stored record', () => {
    const { presented, record } = Kernel.createKeyRecord();
    const [, , secret] = presented.split('_');
    expect(JSON.stringify(record).includes(secret ?? '')).toEqual(false);
  });
});
