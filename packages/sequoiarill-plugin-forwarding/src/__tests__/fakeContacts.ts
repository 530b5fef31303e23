/** Contact checks of fake targets, in virtual time. */
import type * as Kernel from '@sequoiarill/kernel';
import type { ForwardingTarget } from '@sequoiarill/types';

import * as ContactChecks from '../targets/contactCheck';
import type { ContactCheck, TargetContact } from '../targets/contactCheck';

export interface FakeContactOptions {
  readonly clock: Kernel.FakeClock;
  readonly getContact: (id: string) => TargetContact;
  readonly isResting: (target: ForwardingTarget) => boolean;
}

export function createFakeContactCheck({
  clock,
  getContact,
  isResting,
}: FakeContactOptions): ContactCheck {
  const { connectMs, answerMs } = ContactChecks.CONTACT_TIMEOUTS;
  return ContactChecks.createContactCheck({
    clock,
    async readContact({ id }) {
      const contact = getContact(id);
      if (contact === 'unreachable') await clock.waitMs(connectMs);
      if (contact === 'accepts') await clock.waitMs(answerMs);
      return contact;
    },
    async checkExit({ id }) {
      const contact = getContact(id);
      if (contact === 'unreachable') await clock.waitMs(ContactChecks.CONNECTION_TIMEOUT_MS);
      if (contact === 'refuses') return 'ended';
      return contact === 'unreachable' ? 'silent' : 'alive';
    },
    notices: { isResting },
  });
}
