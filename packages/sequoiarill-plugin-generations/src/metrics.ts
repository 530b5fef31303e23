/** Metrics of the generations plug-in. */
export const METRICS = [
  { name: 'generations.started', unit: 'count', meaning: 'Generations admitted.' },
  { name: 'generations.finished', unit: 'count', meaning: 'Finished generations, by outcome.' },
  {
    name: 'generations.firstToken',
    unit: 'ms',
    meaning: 'Time from admission to the first token.',
  },
  {
    name: 'generations.lost',
    unit: 'count',
    meaning: 'Engines lost during a generation, by cause.',
  },
  {
    name: 'generations.kept',
    unit: 'count',
    meaning: 'Silences in which the engine was kept, because no other engine could go on.',
  },
  {
    name: 'generations.resume',
    unit: 'ms',
    meaning: 'Time from detecting a loss to the next token.',
  },
  { name: 'generations.tokens', unit: 'count', meaning: 'Output tokens added to answers.' },
  {
    name: 'generations.tokensRecomputed',
    unit: 'count',
    meaning: 'Prompt and output tokens sent to another engine after a loss.',
  },
] as const;
