/** Numbered log events, written as JSON lines by pino. */
import type { EventDefinition, LogEvent, LogLevel } from '@sequoiarill/types';
import Pino from 'pino';

const definitionsByNumber = new Map<number, EventDefinition>();

/**
 * Defines an event. Throws if another event has the same number, since the number identifies an
 * event in the logs.
 */
export function defineEvent(
  number: number,
  level: LogLevel,
  name: string,
  message: string,
): EventDefinition {
  const definition: EventDefinition = { number, level, name, message };
  const existing = definitionsByNumber.get(number);
  if (existing !== undefined && existing.name !== name) {
    throw new Error(
      `event number ${number} is used by both "${existing.name}" and "${name}"; choose another`,
    );
  }
  definitionsByNumber.set(number, definition);
  return definition;
}

/** Lists the events of all packages loaded so far, sorted by number. */
export function listEvents(): readonly EventDefinition[] {
  return [...definitionsByNumber.values()].sort((left, right) => left.number - right.number);
}

export interface Logger {
  readonly logEvent: LogEvent;
  /** Flushes buffered lines before the process exits. */
  readonly close: () => void;
}

/**
 * Lines buffered for a slow reader: a few seconds of logs during a burst of failures. Further lines
 * are dropped.
 */
const MAX_BUFFERED_BYTES = 1_048_576;
const STDOUT_FD = 1;

/**
 * Writes asynchronously with a bounded buffer and drops lines beyond it. If the process that
 * collects the logs stops reading, the pipe fills up, and a synchronous write to it would block
 * every request.
 */
function createOutput() {
  return Pino.destination({ dest: STDOUT_FD, sync: false, maxLength: MAX_BUFFERED_BYTES });
}

function writeBufferedLines(output: ReturnType<typeof createOutput>): void {
  try {
    output.flushSync();
  } catch {
    // The pipe is closed or was never opened, so there is nothing left to deliver.
  }
}

/** Logs one JSON object per line, to standard output unless another destination is given. */
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
      if (output !== undefined) writeBufferedLines(output);
    },
  };
}
