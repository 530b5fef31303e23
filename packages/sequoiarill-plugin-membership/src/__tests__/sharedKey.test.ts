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
  it('does not include a mistyped key in the error', () => {
    // An operator omits one digit of the key. It is then treated as the path of a file, and an
    // error with that path would write the key to the log of the service manager.
    const mistyped = `${'5a'.repeat(16)}f`;
    const message = getMessage(mistyped);
    expect(message.includes(mistyped)).toEqual(false);
    expect(message.includes('[membership], key sharedKey')).toEqual(true);
  });

  it('accepts only pairs of digits', () => {
    // The last one of an odd number of digits would be dropped silently, so that two routers whose
    // keys differ in it would trust each other.
    expect(SharedKeys.loadKey('5a'.repeat(16)).length).toEqual(16);
    expect(getMessage(`${'5a'.repeat(16)}5`) === '').toEqual(false);
  });
});
