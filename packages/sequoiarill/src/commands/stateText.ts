/** Formats a state dump for a terminal, indented and with aligned values. */

const INDENT = '  ';
/** A list is printed on one line if it fits into this width. */
const MAX_LINE_WIDTH = 100;

/** Formats any value of a dump; `level` is its nesting depth. */
export function formatState(value: unknown, level = 0): string {
  return formatLines(value, level).join('\n');
}

function formatLines(value: unknown, level: number): readonly string[] {
  if (Array.isArray(value)) return formatList(value, level);
  if (!isRecord(value)) return [`${INDENT.repeat(level)}${formatScalar(value)}`];
  const entries = Object.entries(value);
  const width = Math.max(0, ...entries.filter(hasInlineValue).map(([name]) => name.length));
  return entries.flatMap(([name, field]) => formatField(name, field, width, level));
}

function formatField(
  name: string,
  value: unknown,
  width: number,
  level: number,
): readonly string[] {
  const margin = INDENT.repeat(level);
  const inline = formatInline(value);
  if (inline !== undefined) return [`${margin}${name.padEnd(width)}  ${inline}`];
  return [`${margin}${name}`, ...formatLines(value, level + 1)];
}

function formatList(items: readonly unknown[], level: number): readonly string[] {
  const margin = INDENT.repeat(level);
  return items.flatMap((item) => {
    const inline = formatInline(item) ?? formatInlineRecord(item);
    if (inline !== undefined) return [`${margin}- ${inline}`];
    const [first = '', ...rest] = formatLines(item, level + 1);
    return [`${margin}- ${first.trimStart()}`, ...rest];
  });
}

function hasInlineValue([, value]: readonly [string, unknown]): boolean {
  return formatInline(value) !== undefined;
}

function formatInline(value: unknown): string | undefined {
  if (Array.isArray(value)) {
    if (value.length === 0) return 'none';
    if (value.some((item) => typeof item === 'object' && item !== null)) return undefined;
    const line = value.map(formatScalar).join(', ');
    return line.length <= MAX_LINE_WIDTH ? line : undefined;
  }
  if (isRecord(value)) return Object.keys(value).length === 0 ? 'none' : undefined;
  return formatScalar(value);
}

function formatInlineRecord(value: unknown): string | undefined {
  if (!isRecord(value)) return undefined;
  const fields = Object.entries(value).map(([name, field]) => [name, formatInline(field)] as const);
  if (fields.some(([, field]) => field === undefined)) return undefined;
  const line = fields.map(([name, field]) => `${name} ${field}`).join(', ');
  return line.length <= MAX_LINE_WIDTH ? line : undefined;
}

function formatScalar(value: unknown): string {
  if (value === null || value === undefined) return '-';
  return String(value);
}

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
