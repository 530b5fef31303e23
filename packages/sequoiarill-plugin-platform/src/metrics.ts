/** Metrics of the platform plug-in. */

export const METRICS = [
  {
    name: 'platform.reads',
    unit: 'calls',
    meaning: 'Reads sent to the platform, which allows about 2,000 per second in total',
  },
  {
    name: 'platform.writes',
    unit: 'calls',
    meaning:
      'Writes and lease calls sent to the platform, which allows several hundred per second in total',
  },
  { name: 'platform.watches', unit: 'calls', meaning: 'Watches opened' },
  {
    name: 'platform.call_ms',
    unit: 'ms',
    meaning: 'Duration of one call, tagged with its kind (read or write) and outcome',
  },
  {
    name: 'configuration.revision',
    unit: 'revision',
    meaning: 'Revision of the configuration applied in this process',
  },
  {
    name: 'configuration.build_ms',
    unit: 'ms',
    meaning: 'Time to build one snapshot of the configuration',
  },
] as const;
