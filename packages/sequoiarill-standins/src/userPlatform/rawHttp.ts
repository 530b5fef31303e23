/** Text of HTTP/1.1 that stand-ins write to a connection themselves. */
import type { OutgoingHttpHeaders } from 'node:http';

/** The answer that a target sends when nothing is wrong. */
export interface WholeAnswer {
  readonly headers: OutgoingHttpHeaders;
  /** ASCII only. */
  readonly body: string;
}

export function formatHead(status: string, headers: OutgoingHttpHeaders): string {
  const fields = Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}\r\n`);
  return `HTTP/1.1 ${status}\r\n${fields.join('')}\r\n`;
}

/** Empty for an empty text, which would end the body. */
export function formatChunk(text: string): string {
  return text === '' ? '' : `${text.length.toString(16)}\r\n${text}\r\n`;
}
