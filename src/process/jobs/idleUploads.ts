/**
 * Detects open uploads that no longer receive chunks. The detection runs in the leader's memory on monotonic time only,
 * so clock differences between control hosts never cause an upload in progress to be discarded.
 * @module
 */
import type { Upload } from './jobRecords.ts'

/** Time without a chunk after which an open upload is discarded, in milliseconds. */
export const uploadIdleTimeoutMs = 60_000

/** Detector of idle uploads. */
export interface IdleUploads {
  /**
   * Checks the open uploads for progress since earlier calls.
   * @param uploads - all open uploads
   * @param now - monotonic time in milliseconds
   * @returns the uploads that have received no chunk for `uploadIdleTimeoutMs`
   */
  find (uploads: Iterable<Upload>, now: number): Upload[]
  /**
   * Returns how long an upload has received no chunk, as far as the earlier calls of `find` show.
   * @param upload - the upload
   * @param now - monotonic time in milliseconds
   * @returns the time, in milliseconds; 0 if it has received one since then
   */
  getIdleMs (upload: Upload, now: number): number
}

interface Observation {
  readonly nextSequence: number
  /** Monotonic time of the first check that found this sequence number, in milliseconds. */
  readonly since: number
}

/**
 * Creates a detector without observed uploads.
 * @returns the detector
 */
export function createIdleUploads (): IdleUploads {
  let observations = new Map<string, Observation>()
  return {
    find (uploads, now) {
      const current = new Map<string, Observation>()
      const idle: Upload[] = []
      for (const upload of uploads) {
        const earlier = observations.get(upload.id)
        const observation = earlier?.nextSequence === upload.nextSequence ? earlier : { nextSequence: upload.nextSequence, since: now }
        current.set(upload.id, observation)
        if (now - observation.since >= uploadIdleTimeoutMs) idle.push(upload)
      }
      observations = current
      return idle
    },
    getIdleMs ({ id, nextSequence }, now) {
      const observation = observations.get(id)
      return observation?.nextSequence === nextSequence ? now - observation.since : 0
    }
  }
}
