/**
 * Returns a getter that creates one value per name, on the first call with that name. Values are kept in `values`.
 */
export function createLazyGetter<Value>(
  createValue: (name: string) => Value,
  values = new Map<string, Value>(),
): (name: string) => Value {
  return (name) => {
    const existing = values.get(name);
    if (existing !== undefined) return existing;
    const value = createValue(name);
    values.set(name, value);
    return value;
  };
}
