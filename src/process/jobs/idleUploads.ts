/**
 * Finds open uploads that have received no chunk for a while. It is kept in the leader's memory and uses monotonic time
 * only, so that clocks of control hosts that differ never discard an upload under way.
 * @module
 */
import type { Upload } from './jobRecords.ts'

/** Time without a chunk after which an open upload is discarded, in milliseconds. */
export const uploadIdleTimeoutMs = 60_000

/** Watch over open uploads. */
export interface IdleUploads {
  /**
   * Looks at the open uploads.
   * @param uploads - all open uploads
   * @param now - monotonic time in milliseconds
   * @returns those whose next chunk has been awaited for the whole limit
   */
  find (uploads: Iterable<Upload>, now: number): Upload[]
}

interface Sighting {
  readonly nextSequence: number
  readonly since: number
}

/**
 * Creates a watch that has seen no upload.
 * @returns the watch
 */
export function createIdleUploads (): IdleUploads {
  let sightings = new Map<string, Sighting>()
  return {
    find (uploads, now) {
      const seen = new Map<string, Sighting>()
      const quiet: Upload[] = []
      for (const upload of uploads) {
        const earlier = sightings.get(upload.id)
        const sighting = earlier?.nextSequence === upload.nextSequence ? earlier : { nextSequence: upload.nextSequence, since: now }
        seen.set(upload.id, sighting)
        if (now - sighting.since >= uploadIdleTimeoutMs) quiet.push(upload)
      }
      sightings = seen
      return quiet
    }
  }
}
