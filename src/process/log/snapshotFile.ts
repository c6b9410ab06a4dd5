/**
 * Snapshot files: a frame with the point of the log, frames with the parts of the state, and a frame that ends the file.
 * @module
 */
import { decodeFrames, encodeFrame, encodeRecord, ReadEnd } from './recordCodec.ts'
import type { StateChunk } from '../state/stateSnapshot.ts'
import type { Snapshot, SnapshotPoint } from './storage.ts'

/** Name of the newest snapshot. */
export const snapshotName = 'snapshot.records'

/** Name of an own snapshot that is being written. */
export const newSnapshotName = 'snapshot.new'

/** Name of a snapshot that is being received. */
export const receivedSnapshotName = 'snapshot.received'

/** Bytes of a snapshot that one message carries. */
export const chunkBytes = 256 * 1024

/** Bytes of parts in one frame. */
const frameBytes = 256 * 1024

interface SnapshotEnd {
  readonly parts: number
}

/**
 * Builds the content of a snapshot file.
 * @param point - the point of the log
 * @param parts - encoded parts of the state
 * @returns the content in pieces
 */
export function * encodeSnapshot (point: SnapshotPoint, parts: readonly Buffer[]): Iterable<Buffer> {
  let position = 0
  let waiting: Buffer[] = [encodeRecord(point)]
  let waitingBytes = 0
  for (const part of [...parts, encodeRecord({ parts: parts.length } satisfies SnapshotEnd)]) {
    if (waitingBytes >= frameBytes) {
      const frame = encodeFrame(position, waiting)
      position += frame.length
      yield frame
      waiting = []
      waitingBytes = 0
    }
    waiting.push(part)
    waitingBytes += part.length
  }
  yield encodeFrame(position, waiting)
}

/**
 * Reads the content of a snapshot file.
 * @param bytes - the content
 * @returns the snapshot, or undefined when it is not whole
 */
export function decodeSnapshot (bytes: Buffer): Snapshot | undefined {
  const decoded = decodeFrames(bytes)
  if (decoded.end !== ReadEnd.Complete || decoded.records.length < 2) return undefined
  const point = decoded.records[0] as SnapshotPoint
  const parts = decoded.records.slice(1, -1) as StateChunk[]
  const end = decoded.records.at(-1) as SnapshotEnd
  return end.parts === parts.length ? { point, parts } : undefined
}
