/**
 * Lets routers as processes have more to repeat than their fleet may, and prints the largest number of repeats that
 * targets have received in a sliding window, as a multiple of what the rule allows.
 */
import path from 'node:path';

import { Command } from 'commander';

import * as Outputs from './output';
import * as Callers from './repeats/callers';
import type { Kind } from './repeats/fleet';
import * as Rows from './repeats/rows';

interface Arguments {
  readonly row?: string;
  readonly routers: string;
  readonly targets: string;
  readonly kind: Kind;
  readonly rate: string;
  readonly maxTargets: string;
  readonly limit: string;
  readonly ratio: string;
  readonly slack: string;
  readonly window: string;
  readonly daemon: string;
}

const DAEMON = path.resolve(__dirname, '../../platform/lib/main.js');
const MS_PER_SECOND = 1_000;

const program = new Command('repeats')
  .option('--row <text>', 'plays only rows whose name contains this')
  .option('--routers <number>', 'number of router processes', '9')
  .option('--targets <number>', 'number of targets', '12')
  .option('--kind <streams|reads|orders>', 'requests to play', 'streams')
  .option('--rate <number>', 'requests per second', '40')
  .option('--max-targets <number>', 'targets that a request may be sent to', '5')
  .option('--limit <seconds>', 'time limit of the requests', '8')
  .option('--ratio <number>', 'repeats that the rule allows for each request', '0.3')
  .option('--slack <number>', 'repeats that the rule allows in a window besides', '40')
  .option('--window <seconds>', 'length of the window of the rule', '10')
  .option('--daemon <file>', 'program file of the routers', DAEMON)
  .option('--json', 'print JSON');

async function measureRepeats(): Promise<Outputs.Result> {
  const args = program.parse().opts<Arguments>();
  const rows = [];
  for (const row of Rows.ROWS.filter(({ name }) => name.includes(args.row ?? ''))) {
    const played = await Callers.runRow(row, {
      daemon: path.resolve(args.daemon),
      routers: Number(args.routers),
      targets: Number(args.targets),
      kind: args.kind,
      perSecond: Number(args.rate),
      maxTargets: Number(args.maxTargets),
      limitMs: Number(args.limit) * MS_PER_SECOND,
      rule: {
        ratio: Number(args.ratio),
        slack: Number(args.slack),
        windowMs: Number(args.window) * MS_PER_SECOND,
      },
    });
    process.stderr.write(`${JSON.stringify(played)}\n`);
    rows.push(played);
  }
  return { rows };
}

Outputs.runBench(measureRepeats);
