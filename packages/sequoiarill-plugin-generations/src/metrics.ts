/** Metrics of the generations plug-in. */
export const METRICS = [
  { name: 'generations.started', unit: 'count', meaning: 'Generations taken on.' },
  { name: 'generations.finished', unit: 'count', meaning: 'Generations ended, by outcome.' },
  { name: 'generations.firstToken', unit: 'ms', meaning: 'Taken on until the first token.' },
  {
    name: 'generations.lost',
    unit: 'count',
    meaning: 'Engines lost under a generation, by cause.',
  },
  { name: 'generations.resume', unit: 'ms', meaning: 'Loss noticed until the next token.' },
  { name: 'generations.tokens', unit: 'count', meaning: 'Tokens that reached the answer.' },
  {
    name: 'generations.tokensRecomputed',
    unit: 'count',
    meaning: 'Prompt and output tokens given to an engine again after a loss.',
  },
] as const;
