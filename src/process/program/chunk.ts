/**
 * Splits records into chunks that fit into one command or one log record.
 * @module
 */

/** Limits at which a chunk is closed. */
export interface ChunkLimits {
  /** Maximum number of records per chunk. */
  readonly records: number
  /** Number of characters at which a chunk is closed; the last record may exceed it. */
  readonly characters: number
}

/**
 * Splits records into chunks in order. Chunks are produced lazily.
 * @param values - the records
 * @param limits - limits at which a chunk is closed
 * @param countRecordCharacters - returns the number of characters of a record; 0 by default
 * @returns the chunks, each with at least one record
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
 * Counts the characters of several texts.
 * @param texts - the texts
 * @returns the total number of characters
 */
export function countCharacters (texts: readonly string[]): number {
  let characters = 0
  for (const text of texts) characters += text.length
  return characters
}
