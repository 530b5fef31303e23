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

/** Logs to standard output, one JSON object a line, unless another destination is given. */
export function createLogger(
  processName: string,
  level: LogLevel | 'silent',
  destination?: Pino.DestinationStream,
): Logger {
  const options: Pino.LoggerOptions = { level, base: { process: processName } };
  const pino = destination === undefined ? Pino(options) : Pino(options, destination);
  return {
    logEvent(definition, fields = {}) {
      const record = { ...fields, event: definition.number, name: definition.name };
      pino[definition.level](record, definition.message);
    },
    close() {
      pino.flush();
    },
  };
}
