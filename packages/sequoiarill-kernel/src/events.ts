/** Numbered log events, written as JSON by pino. */
import type { EventDefinition, LogEvent, LogLevel } from '@sequoiarill/types';
import Pino from 'pino';

const definitionsByNumber = new Map<number, EventDefinition>();

/** Defines an event; a number used twice would make the catalogue ambiguous. */
export function defineEvent(
  number: number,
  level: LogLevel,
  name: string,
  message: string,
): EventDefinition {
  const definition: EventDefinition = { number, level, name, message };
  const known = definitionsByNumber.get(number);
  if (known !== undefined && known.name !== name) {
    throw new Error(`event ${number} is both "${known.name}" and "${name}"; choose a free number`);
  }
  definitionsByNumber.set(number, definition);
  return definition;
}

/** Every event of the packages loaded so far, by number. */
export function listEvents(): readonly EventDefinition[] {
  return [...definitionsByNumber.values()].sort((left, right) => left.number - right.number);
}

export interface Logger {
  readonly logEvent: LogEvent;
  /** Waits for what was written, before the process ends. */
  readonly close: () => void;
}

/** Bytes of lines that wait for a slow reader; later ones are dropped. Some seconds of a storm. */
const MAX_WAITING_BYTES = 1_048_576;
const STANDARD_OUTPUT = 1;

/**
 * Failure: whoever reads the log stops reading, the pipe is full, and a write that waits for it stops
 * every request. So lines wait in memory, up to a bound, and are then dropped.
 */
function createOutput() {
  return Pino.destination({ dest: STANDARD_OUTPUT, sync: false, maxLength: MAX_WAITING_BYTES });
}

function writeWaiting(output: ReturnType<typeof createOutput>): void {
  try {
    output.flushSync();
  } catch {
    // The reader is gone, or nothing was written yet: no line is left that could still be read.
  }
}

/** Logs to standard output, one JSON object a line, unless another destination is given. */
export function createLogger(
  processName: string,
  level: LogLevel | 'silent',
  destination?: Pino.DestinationStream,
): Logger {
  const options: Pino.LoggerOptions = { level, base: { process: processName } };
  const output = destination === undefined ? createOutput() : undefined;
  const pino = Pino(options, destination ?? output);
  return {
    logEvent(definition, fields = {}) {
      const record = { ...fields, event: definition.number, name: definition.name };
      pino[definition.level](record, definition.message);
    },
    close() {
      if (output !== undefined) writeWaiting(output);
    },
  };
}
