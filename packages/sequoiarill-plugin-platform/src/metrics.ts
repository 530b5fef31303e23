/** Metrics of the platform plug-in. */

export const METRICS = [
  {
    name: 'platform.reads',
    unit: 'calls',
    meaning: 'Reads sent to the platform, out of its budget of about two thousand a second',
  },
  {
    name: 'platform.writes',
    unit: 'calls',
    meaning: 'Writes and lease calls sent to the platform, out of several hundred a second',
  },
  { name: 'platform.watches', unit: 'calls', meaning: 'Watches opened' },
  {
    name: 'platform.call_ms',
    unit: 'ms',
    meaning: 'Time of one call, tagged with its kind (read or write) and outcome',
  },
  {
    name: 'configuration.revision',
    unit: 'revision',
    meaning: 'Revision of the configuration in force on this process',
  },
  {
    name: 'configuration.build_ms',
    unit: 'ms',
    meaning: 'Time to build one snapshot of the configuration',
  },
] as const;
