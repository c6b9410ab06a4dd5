/**
 * Segments of the log. A segment starts with a base index: together with a snapshot at or after the base, it and the
 * later segments hold the complete log, and earlier segments are obsolete.
 * @module
 */
import { readdir, readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { type DecodedRecords, decodeFrames, ReadEnd } from './recordCodec.ts'
import { type Entry, RecordKind, type SnapshotPoint, type StoredRecord } from './storage.ts'

const segmentNamePattern = /^log-(\d{8})\.records$/

/** The first record of a segment. */
export interface SegmentStart {
  readonly kind: typeof RecordKind.Segment
  /** Index after which the log does not depend on earlier segments. */
  readonly base: number
}

/** A segment as read from its file. */
export interface Segment {
  readonly number: number
  readonly base: number
  readonly records: readonly StoredRecord[]
  /** Length of the complete frames, in bytes. */
  readonly length: number
  /** Length of an incomplete last frame, in bytes. */
  readonly tornBytes: number
}

/** Damage of a file, which prevents a replica from starting. */
export interface Damage {
  readonly file: string
  /** Offset of the damage in the file, in bytes. */
  readonly position: number
  readonly text: string
}

/** The segments that hold the log, and the names of obsolete ones; or the damage found. */
export type SegmentReading =
  | { readonly kind: 'read', readonly needed: readonly Segment[], readonly obsolete: readonly string[] }
  | { readonly kind: 'damaged', readonly damage: Damage }

/** Term, vote and entries after a replay of the records. */
export interface Replay {
  readonly term: number
  readonly votedFor: string | undefined
  readonly entries: Entry[]
  /** Index of the first missing entry, if the records have a gap. */
  readonly missing: number | undefined
}

/**
 * Builds the file name of a segment.
 * @param number - number of the segment, from 1
 * @returns its file name
 */
export function segmentName (number: number): string {
  return `log-${String(number).padStart(8, '0')}.records`
}

/**
 * Lists the segments of a folder.
 * @param folder - the folder
 * @returns their numbers in increasing order
 * @throws Error when the folder cannot be read
 */
export async function listSegments (folder: string): Promise<number[]> {
  const numbers: number[] = []
  for (const name of await readdir(folder)) {
    const match = segmentNamePattern.exec(name)
    if (match !== null) numbers.push(Number(match[1]))
  }
  return numbers.sort((left, right) => left - right)
}

/**
 * Reads the segments that are needed after a snapshot.
 * @param folder - the folder
 * @param snapshotIndex - index of the snapshot, 0 without one
 * @returns the segments, or the damage found
 * @throws Error when the folder or a file cannot be read
 */
export async function readSegments (folder: string, snapshotIndex: number): Promise<SegmentReading> {
  const numbers = await listSegments(folder)
  const needed: Segment[] = []
  const obsolete: string[] = []
  // Segments are read from the newest backwards, up to one that does not depend on an earlier one.
  for (let position = numbers.length - 1; position >= 0; position--) {
    const number = numbers[position] ?? 0
    const name = segmentName(number)
    if (isSelfContained(needed[0], snapshotIndex)) {
      obsolete.push(name)
      continue
    }
    const following = needed[0]
    if (following !== undefined && following.number !== number + 1) return createDamagedReading(segmentName(number + 1), 0, 'segment is missing')
    const bytes = await readFile(join(folder, name))
    const decoded = decodeFrames(bytes)
    const isNewest = following === undefined
    if (decoded.end === ReadEnd.Damaged) return createDamagedReading(name, decoded.length, 'frame is damaged')
    // A segment is started only after the previous one is synced, so only the newest can have a torn frame.
    if (decoded.end === ReadEnd.Torn && !isNewest) return createDamagedReading(name, decoded.length, 'frame is incomplete, but a later segment exists')
    needed.unshift(toSegment(number, decoded, bytes.length))
  }
  if (!isSelfContained(needed[0], snapshotIndex)) return createDamagedReading(segmentName(needed[0]?.number ?? 1), 0, 'earlier segments of the log are missing')
  return { kind: 'read', needed, obsolete }
}

function toSegment (number: number, decoded: DecodedRecords, fileBytes: number): Segment {
  const [first, ...rest] = decoded.records as [SegmentStart | undefined, ...StoredRecord[]]
  // A segment whose first frame is torn was never used; it depends on the previous one.
  return { number, base: first?.base ?? Infinity, records: rest, length: decoded.length, tornBytes: fileBytes - decoded.length }
}

function isSelfContained (segment: Segment | undefined, snapshotIndex: number): boolean {
  return segment !== undefined && segment.base <= snapshotIndex
}

function createDamagedReading (file: string, position: number, text: string): SegmentReading {
  return { kind: 'damaged', damage: { file, position, text } }
}

/**
 * Replays records in order.
 * @param records - the records of the segments that hold the log
 * @param point - the snapshot that they follow
 * @returns term, vote and entries after the snapshot
 */
export function replay (records: Iterable<StoredRecord>, point: SnapshotPoint): Replay {
  let term = 0
  let votedFor: string | undefined
  const entries: Entry[] = []
  for (const record of records) {
    switch (record.kind) {
      case RecordKind.Entry: {
        const { entry } = record
        if (entry.index <= point.index) break
        // A segment repeats the entries after its base that the previous segment held.
        if (entry.index <= lastIndex(entries, point)) truncateFrom(entries, entry.index)
        if (entry.index !== lastIndex(entries, point) + 1) return { term, votedFor, entries, missing: lastIndex(entries, point) + 1 }
        entries.push(entry)
        break
      }
      case RecordKind.Vote:
        term = record.term
        votedFor = record.votedFor ?? undefined
        break
      case RecordKind.Truncation:
        truncateFrom(entries, record.from)
        break
    }
  }
  return { term, votedFor, entries, missing: undefined }
}

function lastIndex (entries: readonly Entry[], point: SnapshotPoint): number {
  return entries.at(-1)?.index ?? point.index
}

function truncateFrom (entries: Entry[], index: number): void {
  while ((entries.at(-1)?.index ?? 0) >= index) entries.pop()
}
