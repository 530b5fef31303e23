/** Metrics of the plug-in `directory`. */

export const CONFIRMATION_AGE = 'directory.confirmationAge';

export const FRESH_READS = 'directory.freshReads';

export const METRICS = [
  {
    name: CONFIRMATION_AGE,
    unit: 'ms',
    meaning:
      'Age that the confirmation of the known state had reached when a newer one arrived; a change may have been unknown for so long.',
  },
  {
    name: FRESH_READS,
    unit: 'count',
    meaning:
      'Reads of the store on behalf of a question that needs news as young as itself, by `outcome`: `answered`, `failed`.',
  },
] as const;
