/**
 * Groups values by a key.
 * @module
 */

/**
 * Groups values by a key.
 * @param values - the values
 * @param getKey - returns the key of a value
 * @returns the values of each key, in their order
 */
export function groupBy<Value> (values: readonly Value[], getKey: (value: Value) => string): Map<string, Value[]> {
  const groups = new Map<string, Value[]>()
  for (const value of values) {
    const key = getKey(value)
    const group = groups.get(key) ?? []
    group.push(value)
    groups.set(key, group)
  }
  return groups
}
