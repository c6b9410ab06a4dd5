/**
 * Space for jobs that are being uploaded on the control hosts: which upload gives way when they take too much memory together.
 * @module
 */
import { getHeapStatistics } from 'node:v8'
import { countItemBytes, type Upload } from './jobRecords.ts'

/** Share of the heap's limit that open uploads take by default. */
const heapShare = 1 / 4

/** Share of the heap's limit that the items of all jobs take by default until they have run. */
const jobHeapShare = 1 / 2

/** Time without a chunk after which an upload gives way to others, in milliseconds: callers send the next chunk at once. */
const yieldAfterMs = 2_000

/** What an upload with a further chunk has to do. */
export const UploadSpaceKind = {
  /** There is space for the chunk. */
  Fits: 'fits',
  /** Another upload is to be discarded first. */
  Discard: 'discard',
  /** The chunk is refused. */
  Full: 'full'
} as const

/** The decision about a chunk. */
export type UploadSpace =
  | { readonly kind: typeof UploadSpaceKind.Fits }
  | { readonly kind: typeof UploadSpaceKind.Discard, readonly upload: Upload }
  | { readonly kind: typeof UploadSpaceKind.Full }

/** A chunk of an upload. */
export interface UploadChunk {
  readonly upload: string
  readonly bytes: number
}

const countedItems = new WeakMap<Upload, { items: number, bytes: number }>()

/**
 * Computes the default limit of the size of all open uploads.
 * @returns the limit, in bytes
 */
export function computeOpenUploadLimit (): number {
  return Math.floor(getHeapStatistics().heap_size_limit * heapShare)
}

/**
 * Computes the default limit of the size of all items that have not run.
 * @returns the limit, in bytes
 */
export function computeOpenJobLimit (): number {
  return Math.floor(getHeapStatistics().heap_size_limit * jobHeapShare)
}

/**
 * Checks whether further items can be kept beside those of sealed jobs until they have run. A job that is alone always has space.
 * @param openItemBytes - size of the items of sealed jobs that have not run, in bytes
 * @param uploads - all open uploads
 * @param newBytes - size of the further items, in bytes
 * @param limitBytes - limit of the size of all items that have not run, in bytes
 * @returns whether there is space
 */
export function hasJobSpace (openItemBytes: number, uploads: Iterable<Upload>, newBytes: number, limitBytes: number): boolean {
  let bytes = openItemBytes + newBytes
  for (const upload of uploads) bytes += countItems(upload)
  return openItemBytes === 0 || bytes <= limitBytes
}

/**
 * Decides about a chunk. An upload that is the only one is always accepted. When there is no space, the upload that has received no chunk
 * for the longest time gives way; if all are in progress, the chunk is refused, and its upload ends.
 * @param uploads - all open uploads
 * @param chunk - the chunk
 * @param limitBytes - limit of the size of all open uploads, in bytes
 * @param getIdleMs - returns the time for which an upload has received no chunk, in milliseconds
 * @returns the decision
 */
export function decideUploadSpace (uploads: Iterable<Upload>, chunk: UploadChunk, limitBytes: number, getIdleMs: (upload: Upload) => number): UploadSpace {
  let bytes = chunk.bytes
  let others = 0
  let idle: Upload | undefined
  let longestMs = yieldAfterMs
  for (const upload of uploads) {
    bytes += countItems(upload)
    if (upload.id === chunk.upload || upload.items.length === 0) continue
    others++
    const idleMs = getIdleMs(upload)
    if (idleMs < longestMs) continue
    idle = upload
    longestMs = idleMs
  }
  if (bytes <= limitBytes || others === 0) return { kind: UploadSpaceKind.Fits }
  return idle === undefined ? { kind: UploadSpaceKind.Full } : { kind: UploadSpaceKind.Discard, upload: idle }
}

// Items are only added, so that those counted before are not counted again.
function countItems (upload: Upload): number {
  const counted = countedItems.get(upload) ?? { items: 0, bytes: 0 }
  countedItems.set(upload, counted)
  if (counted.items < upload.items.length) {
    counted.bytes += countItemBytes(upload.items.slice(counted.items))
    counted.items = upload.items.length
  }
  return counted.bytes
}
