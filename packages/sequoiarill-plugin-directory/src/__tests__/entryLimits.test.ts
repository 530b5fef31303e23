import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as DirectoryStates from '../directoryState';
import * as Fixtures from './fixtures';

const LONG = 'x'.repeat(200_000);

describe('an entry that is far too long for its kind', () => {
  it('is not kept, passed on or read, and hides no other entry', () => {
    // Guards against copies for other routers that are refused as a whole for one entry in them.
    const log = Fixtures.createEventLog();
    const state = DirectoryStates.createDirectoryState({
      wire: Fixtures.WIRE,
      logEvent: log.logEvent,
      getNowMs: () => 0,
    });
    const { targetPrefix, ownPrefix } = Fixtures.WIRE;
    const keys = [`${targetPrefix}long`, `${ownPrefix}routers/long`, `${ownPrefix}x/long`];
    const configuration = {
      key: Fixtures.WIRE.configurationKey,
      revision: 4,
      value: Fixtures.createConfigurationText(1),
    };
    const longRecords = keys.map((key, index) => ({ key, revision: index + 1, value: LONG }));
    const other = { key: 'elsewhere/long', revision: 5, value: LONG };
    state.applyRecords([...longRecords, configuration, other]);
    expect(state.getConfiguration()?.version).toEqual(1);
    expect(state.listRouters()).toEqual([]);
    const passedOn = state.listRecordsAfter(0).filter(({ key }) => keys.includes(key));
    expect(passedOn.map(({ value }) => value)).toEqual(['', '', '']);
    const names = log.listNames().filter((name) => name === 'directory.entryTooLong');
    expect(names.length).toEqual(3);
  });
});
