/**
 * Operations on the log in memory, which holds the entries after a base point.
 * @module
 */
import { assert } from '../program/assert.ts'
import type { ReplicaState } from './replicaState.ts'
import { type Entry, type Member, PayloadKind, RecordKind, type SnapshotPoint, type StoredRecord } from './storage.ts'

/** The part of a replica's state that holds the log. */
export type Log = Pick<ReplicaState, 'base' | 'entries'>

/**
 * Returns the index of the last entry.
 * @param log - the log
 * @returns the index, 0 for an empty log
 */
export function lastIndexOf (log: Log): number {
  return log.base.index + log.entries.length
}

/**
 * Returns the term of an entry.
 * @param log - the log
 * @param index - index of the entry
 * @returns the term, or undefined when the entry is not in memory; 0 for index 0 of an uncompacted log
 */
export function termAt (log: Log, index: number): number | undefined {
  if (index === log.base.index) return log.base.term
  return entryAt(log, index)?.term
}

/**
 * Returns the term of the last entry.
 * @param log - the log
 * @returns the term
 */
export function lastTermOf (log: Log): number {
  return log.entries.at(-1)?.term ?? log.base.term
}

/**
 * Returns an entry.
 * @param log - the log
 * @param index - its index
 * @returns the entry, or undefined when it is not in memory
 */
export function entryAt (log: Log, index: number): Entry | undefined {
  const position = index - log.base.index - 1
  return position < 0 ? undefined : log.entries[position]
}

/**
 * Estimates the size of an entry.
 * @param entry - the entry
 * @returns the size without compression, in bytes
 */
export function countEntryBytes (entry: Entry): number {
  return approximateBytes(entry.payload)
}

/**
 * Returns the entries for one append request.
 * @param log - the log
 * @param first - index of the first entry, after the base
 * @param countLimit - maximum number of entries
 * @param bytesLimit - approximate maximum size of the entries, in bytes; the first entry is returned even if it exceeds it
 * @param countBytes - estimates the size of an entry, in bytes; without its compression by default
 * @returns the entries
 */
export function entriesFrom (log: Log, first: number, countLimit: number, bytesLimit: number, countBytes = countEntryBytes): Entry[] {
  const position = first - log.base.index - 1
  assert(position >= 0, `entry ${first} is before the base ${log.base.index}`)
  const entries: Entry[] = []
  let bytes = 0
  for (const entry of log.entries.slice(position, position + countLimit)) {
    bytes += countBytes(entry)
    if (entries.length > 0 && bytes > bytesLimit) break
    entries.push(entry)
  }
  return entries
}

/**
 * Appends an entry.
 * @param log - the log
 * @param entry - the entry, whose index must follow that of the last one
 */
export function pushEntry (log: Log, entry: Entry): void {
  assert(entry.index === lastIndexOf(log) + 1, `entry ${entry.index} does not follow entry ${lastIndexOf(log)}`)
  log.entries.push(entry)
}

/**
 * Removes an entry and all later ones.
 * @param log - the log
 * @param index - index of the first entry to remove
 */
export function truncateFrom (log: Log, index: number): void {
  assert(index > log.base.index, `entry ${index} is not after the base ${log.base.index}`)
  log.entries.length = index - log.base.index - 1
}

/**
 * Discards the entries up to and including an index from memory; the index becomes the new base.
 * @param log - the log
 * @param index - index of the last entry to discard; an index at or before the base has no effect
 */
export function discardThrough (log: Log, index: number): void {
  if (index <= log.base.index) return
  const base = pointAt(log, index)
  log.entries.splice(0, index - log.base.index)
  log.base = base
}

/**
 * Returns the point of the log at an index.
 * @param log - the log
 * @param index - the index, not before the base
 * @returns the point
 */
export function pointAt (log: Log, index: number): SnapshotPoint {
  const term = termAt(log, index)
  assert(term !== undefined, `entry ${index} is not in memory`)
  return { index, term, members: membersAt(log, index) }
}

/**
 * Returns the membership at an index: the last one at or before it, committed or not.
 * @param log - the log
 * @param index - the index
 * @returns the members
 */
export function membersAt (log: Log, index: number): readonly Member[] {
  return membersEntryAt(log, index)?.members ?? log.base.members
}

/**
 * Returns the index of the last membership.
 * @param log - the log
 * @returns the index of its entry; the base index when the entry is no longer in memory
 */
export function membersIndexOf (log: Log): number {
  return membersEntryAt(log, lastIndexOf(log))?.index ?? log.base.index
}

function membersEntryAt (log: Log, index: number): { readonly index: number, readonly members: readonly Member[] } | undefined {
  for (let position = Math.min(index - log.base.index, log.entries.length) - 1; position >= 0; position--) {
    const entry = log.entries[position]
    if (entry?.payload.kind === PayloadKind.Members) return { index: entry.index, members: entry.payload.members }
  }
  return undefined
}

/**
 * Builds the records of a new segment that follows a snapshot.
 * @param state - the replica
 * @param index - index of the snapshot
 * @returns term and vote, and the entries after the index
 */
export function recordsAfter (state: ReplicaState, index: number): StoredRecord[] {
  const records: StoredRecord[] = [{ kind: RecordKind.Vote, term: state.term, votedFor: state.votedFor }]
  for (const entry of state.entries) {
    if (entry.index > index) records.push({ kind: RecordKind.Entry, entry })
  }
  return records
}

/** Maximum size of an encoded number, or of the header of any other value, in bytes. */
const valueOverheadBytes = 9

/**
 * Estimates the encoded size of a value without encoding it.
 * @param value - the value
 * @returns the size, in bytes
 */
export function approximateBytes (value: unknown): number {
  if (typeof value === 'string') return value.length + valueOverheadBytes
  if (typeof value !== 'object' || value === null) return valueOverheadBytes
  // The enumerable properties of a typed array are its elements, so a body would be estimated byte by byte.
  if (ArrayBuffer.isView(value)) return value.byteLength + valueOverheadBytes
  let size = valueOverheadBytes
  for (const [name, field] of Object.entries(value)) size += name.length + approximateBytes(field)
  return size
}
