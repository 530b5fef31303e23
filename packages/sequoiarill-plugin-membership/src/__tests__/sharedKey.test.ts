import { describe, it } from 'node:test';

import { expect } from 'earl';

import * as SharedKeys from '../sharedKey';

function getMessage(setting: string): string {
  try {
    SharedKeys.loadKey(setting);
    return '';
  } catch (error) {
    return (error as Error).message;
  }
}

describe('shared key', () => {
  it('never shows a mistyped key in its error', () => {
    // An operator leaves out one digit of the key. Taken for the name of a file, the key itself
    // would stand in the start error and so in the log of the service manager.
    const mistyped = `${'5a'.repeat(16)}f`;
    const message = getMessage(mistyped);
    expect(message.includes(mistyped)).toEqual(false);
    expect(message.includes('[membership], key sharedKey')).toEqual(true);
  });

  it('takes digits in pairs only', () => {
    // Of an odd number of digits the last one would be dropped without a word, and two routers whose
    // keys differ in it would trust each other.
    expect(SharedKeys.loadKey('5a'.repeat(16)).length).toEqual(16);
    expect(getMessage(`${'5a'.repeat(16)}5`) === '').toEqual(false);
  });
});
