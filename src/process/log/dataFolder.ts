/**
 * Loads the data folder of a replica. Formatting writes the identity file last, so a folder that has an identity but no
 * log has lost data and is rejected.
 * @module
 */
import { randomUUID } from 'node:crypto'
import { mkdir, rm, truncate } from 'node:fs/promises'
import { join } from 'node:path'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { readIfPresent, replaceFile, syncFolder, writeSynced } from './folderFiles.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import { listSegments, readSegments, replay, type Segment, segmentName, type SegmentStart } from './logSegments.ts'
import { encodeFrame, encodeRecord } from './recordCodec.ts'
import { decodeSnapshot, newSnapshotName, receivedSnapshotName, snapshotName } from './snapshotFile.ts'
import { emptyPoint, RecordKind, type SavedLog, type Snapshot, type SnapshotPoint, type StoredRecord } from './storage.ts'

const identityName = 'identity.json'

interface FolderIdentity {
  readonly identity: string
  readonly host: string
}

/** A data folder to load. */
export interface DataFolder {
  readonly folder: string
  /** Name of the host that the folder belongs to. */
  readonly host: string
  readonly logger: Logger
}

/** A loaded data folder. */
export interface LoadedFolder {
  readonly saved: SavedLog
  /** Number of the segment to append to. */
  readonly segment: number
  /** Length of that segment, in bytes. */
  readonly length: number
  readonly snapshotPoint: SnapshotPoint | undefined
}

/**
 * Loads a data folder, and formats it first if it is empty.
 * @param source - the folder
 * @returns the saved log, and where to continue it
 * @throws Failure when the folder is damaged or belongs to another host; Error when a file operation fails
 */
export async function loadFolder (source: DataFolder): Promise<LoadedFolder> {
  const { folder, logger } = source
  await mkdir(folder, { recursive: true })
  const identity = await readIdentity(source) ?? await format(source)
  for (const name of [newSnapshotName, receivedSnapshotName]) await rm(join(folder, name), { force: true })
  const snapshot = await readSnapshot(source)
  const point = snapshot?.point ?? emptyPoint
  const reading = await readSegments(folder, point.index)
  if (reading.kind === 'damaged') throw reportDamage(source, reading.damage.file, reading.damage.position, reading.damage.text)
  const current = await prepareAppendSegment(source, reading.needed)
  const { missing, ...log } = replay(recordsOf(reading.needed), point)
  if (missing !== undefined) throw reportDamage(source, segmentName(current.number), 0, `entry ${missing} is missing`)
  for (const name of reading.obsolete) await rm(join(folder, name), { force: true })
  await syncFolder(folder)
  logger.write(LogEvents.logLoaded, { detail: identity, value: log.entries.length })
  return { saved: { identity, snapshot, ...log }, segment: current.number, length: current.length, snapshotPoint: snapshot?.point }
}

function * recordsOf (segments: readonly Segment[]): Iterable<StoredRecord> {
  for (const segment of segments) yield * segment.records
}

/**
 * Logs damage and creates the failure with which the replica refuses to start.
 * @param source - the folder
 * @param file - the damaged file
 * @param position - offset of the damage, in bytes
 * @param text - description of the damage
 * @returns the failure
 */
function reportDamage (source: DataFolder, file: string, position: number, text: string): Failure {
  const path = join(source.folder, file)
  const message = `${path}, byte ${position}: ${text}`
  source.logger.write(LogEvents.logDamaged, { detail: message, value: position })
  return createFailure(FailureReason.Damaged, { step: Step.LoadLog, peer: source.folder }, message)
}

async function readIdentity (source: DataFolder): Promise<string | undefined> {
  const { folder, host } = source
  const content = await readIfPresent(join(folder, identityName))
  if (content === undefined) return undefined
  const saved = parseIdentity(content)
  if (saved === undefined) throw reportDamage(source, identityName, 0, 'identity file is not valid JSON with identity and host')
  if (saved.host === host) return saved.identity
  throw createFailure(FailureReason.Conflict, { step: Step.LoadLog, peer: folder }, `data folder belongs to host ${saved.host}, not ${host}`)
}

function parseIdentity (content: Buffer): FolderIdentity | undefined {
  try {
    const saved = JSON.parse(content.toString('utf8')) as Partial<FolderIdentity>
    if (typeof saved.identity !== 'string' || typeof saved.host !== 'string') return undefined
    return { identity: saved.identity, host: saved.host }
  } catch {
    return undefined
  }
}

async function format (source: DataFolder): Promise<string> {
  const { folder, host } = source
  await rejectLogWithoutIdentity(source)
  await writeSynced(join(folder, segmentName(1)), [encodeFrame(0, [encodeSegmentStart(0)])])
  await syncFolder(folder)
  const identity = randomUUID()
  await writeSynced(join(folder, `${identityName}.new`), [Buffer.from(JSON.stringify({ identity, host } satisfies FolderIdentity))])
  await replaceFile(folder, `${identityName}.new`, identityName)
  return identity
}

/**
 * Encodes the first record of a segment.
 * @param base - index after which the log does not depend on earlier segments
 * @returns the record
 */
export function encodeSegmentStart (base: number): Buffer {
  return encodeRecord({ kind: RecordKind.Segment, base } satisfies SegmentStart)
}

async function rejectLogWithoutIdentity (source: DataFolder): Promise<void> {
  const { folder } = source
  const empty = encodeFrame(0, [encodeSegmentStart(0)])
  const snapshot = await readIfPresent(join(folder, snapshotName))
  const numbers = await listSegments(folder)
  const first = await readIfPresent(join(folder, segmentName(1))) ?? Buffer.alloc(0)
  // An interrupted formatting leaves at most a first segment without entries.
  const isUnused = snapshot === undefined && numbers.every(number => number === 1) && first.length <= empty.length
  if (!isUnused) throw reportDamage(source, identityName, 0, 'log found without an identity file')
}

async function readSnapshot (source: DataFolder): Promise<Snapshot | undefined> {
  const content = await readIfPresent(join(source.folder, snapshotName))
  if (content === undefined) return undefined
  const snapshot = decodeSnapshot(content)
  if (snapshot === undefined) throw reportDamage(source, snapshotName, 0, 'snapshot is damaged or incomplete')
  return snapshot
}

// Returns the segment to append to: the newest one, truncated before its torn frame if it has one, or the previous one if the
// newest has no complete frame and is removed. Throws a Failure when there is no segment.
async function prepareAppendSegment (source: DataFolder, segments: readonly Segment[]): Promise<Segment> {
  const { folder, logger } = source
  const newest = segments.at(-1)
  if (newest === undefined) throw reportDamage(source, segmentName(1), 0, 'log segment is missing')
  const path = join(folder, segmentName(newest.number))
  if (newest.tornBytes > 0) logger.write(LogEvents.tornRecordTruncated, { detail: path, value: newest.tornBytes })
  const previous = segments.at(-2)
  if (newest.length === 0 && previous !== undefined) {
    await rm(path)
    return previous
  }
  if (newest.tornBytes > 0) await truncate(path, newest.length)
  return newest
}
