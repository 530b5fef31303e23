/** Compares two section texts by key path, for display to operators. */

export interface Difference {
  readonly kind: 'added' | 'removed' | 'changed';
  readonly path: string;
  readonly before?: unknown;
  readonly after?: unknown;
}

type JsonObject = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    // Text that is not valid JSON is compared as a single string.
    return text;
  }
}

function* listDifferences(
  before: unknown,
  after: unknown,
  path: string,
): Generator<Difference, void, void> {
  if (isObject(before) && isObject(after)) {
    for (const key of new Set([...Object.keys(before), ...Object.keys(after)])) {
      yield* listDifferences(before[key], after[key], path === '' ? key : `${path}.${key}`);
    }
  } else if (before === undefined) yield { kind: 'added', path, after };
  else if (after === undefined) yield { kind: 'removed', path, before };
  else if (JSON.stringify(before) !== JSON.stringify(after)) {
    yield { kind: 'changed', path, before, after };
  }
}

export function compareTexts(before: string, after: string): readonly Difference[] {
  return [...listDifferences(parseJson(before), parseJson(after), '')];
}

export function formatDifference(difference: Difference): string {
  const { kind, path, before, after } = difference;
  if (kind === 'added') return `+ ${path}: ${JSON.stringify(after)}`;
  if (kind === 'removed') return `- ${path}: ${JSON.stringify(before)}`;
  return `~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
}
