/**
 * Splits records into groups that are small enough for one command or one record of the log.
 * @module
 */

/** What ends a group. */
export interface ChunkLimits {
  /** Most records in one group. */
  readonly records: number
  /** Characters from which a group takes no further record. */
  readonly characters: number
}

/**
 * Splits records in their order. The groups are made one by one while they are read.
 * @param values - the records
 * @param limits - what ends a group
 * @param countRecordCharacters - characters of a record; none when it is not given
 * @returns the groups, none of them empty
 */
export function * chunk<Value> (values: Iterable<Value>, limits: ChunkLimits, countRecordCharacters: (value: Value) => number = () => 0): Iterable<Value[]> {
  let records: Value[] = []
  let characters = 0
  for (const value of values) {
    records.push(value)
    characters += countRecordCharacters(value)
    if (records.length < limits.records && characters < limits.characters) continue
    yield records
    records = []
    characters = 0
  }
  if (records.length > 0) yield records
}

/**
 * Adds up lengths.
 * @param texts - the texts
 * @returns their characters together
 */
export function countCharacters (texts: readonly string[]): number {
  let characters = 0
  for (const text of texts) characters += text.length
  return characters
}
