/** Gives one object for each name, made when it is first asked for. */
export function createLazyGetter<Value>(createValue: () => Value): (name: string) => Value {
  const values = new Map<string, Value>();
  return (name) => {
    const known = values.get(name);
    if (known !== undefined) return known;
    const created = createValue();
    values.set(name, created);
    return created;
  };
}
