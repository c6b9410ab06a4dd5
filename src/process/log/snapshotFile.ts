/**
 * Codec of snapshot files. A snapshot file is a sequence of frames, whose records are the point of the log, the state
 * chunks, and an end record with the number of state chunks.
 * @module
 */
import { decodeFrames, encodeFrame, encodeRecord, ReadEnd } from './recordCodec.ts'
import type { StateChunk } from '../state/stateSnapshot.ts'
import type { Snapshot, SnapshotPoint } from './storage.ts'

/** Name of the file of the newest snapshot. */
export const snapshotName = 'snapshot.records'

/** Name of the file of an own snapshot that is being written. */
export const newSnapshotName = 'snapshot.new'

/** Name of the file of a snapshot that is being received. */
export const receivedSnapshotName = 'snapshot.received'

/**
 * Maximum size of a chunk of a snapshot file, in bytes. One message carries one chunk, and each costs a round trip between regions;
 * compressed, a chunk of a large configuration has a tenth of this.
 */
export const chunkBytes = 512 * 1024

/** Bytes of records after which a frame ends. */
const frameBytes = 256 * 1024

interface SnapshotEnd {
  readonly parts: number
}

/**
 * Encodes a snapshot file.
 * @param point - the point of the log
 * @param stateChunks - encoded chunks of the exported state machine; consumed frame by frame, so that one frame is in memory
 * @returns the content, frame by frame
 */
export function * encodeSnapshot (point: SnapshotPoint, stateChunks: Iterable<Buffer>): Iterable<Buffer> {
  let position = 0
  let pending: Buffer[] = [encodeRecord(point)]
  let pendingBytes = 0
  let parts = 0
  for (const record of stateChunks) {
    parts++
    if (pendingBytes >= frameBytes) {
      const frame = encodeFrame(position, pending)
      position += frame.length
      yield frame
      pending = []
      pendingBytes = 0
    }
    pending.push(record)
    pendingBytes += record.length
  }
  pending.push(encodeRecord({ parts } satisfies SnapshotEnd))
  yield encodeFrame(position, pending)
}

/**
 * Decodes a snapshot file.
 * @param bytes - the content of the file
 * @returns the snapshot, or undefined when it is damaged or incomplete
 */
export function decodeSnapshot (bytes: Buffer): Snapshot | undefined {
  const decoded = decodeFrames(bytes)
  if (decoded.end !== ReadEnd.Complete || decoded.records.length < 2) return undefined
  const point = decoded.records[0] as SnapshotPoint
  const parts = decoded.records.slice(1, -1) as StateChunk[]
  const end = decoded.records.at(-1) as SnapshotEnd
  return end.parts === parts.length ? { point, parts } : undefined
}
