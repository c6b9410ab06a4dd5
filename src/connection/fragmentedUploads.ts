/**
 * Uploads in very many small chunks. The parser takes about 3 us for each chunk, so a few of them take all of the processor's time.
 * @module
 */
import type { MemoryHolding } from '../process/program/memoryBudget.ts'

/** Such uploads at once. No ordinary client sends one. */
export const maxFragmentedUploads = 4

/** The fragmented uploads of a process. */
export interface FragmentedUploads {
  /**
   * Adds an upload, once or again. If there are too many, the oldest gives way.
   * @param holding - the bytes of the upload
   */
  add (holding: MemoryHolding): void
  /**
   * Removes an upload that has ended.
   * @param holding - the bytes of the upload
   */
  remove (holding: MemoryHolding): void
}

/**
 * Creates the set of fragmented uploads.
 * @returns the set, empty
 */
export function createFragmentedUploads (): FragmentedUploads {
  const uploads = new Set<MemoryHolding>()
  return {
    add (holding) {
      uploads.add(holding)
      if (uploads.size <= maxFragmentedUploads) return
      const [oldest] = uploads
      if (oldest === undefined) return
      uploads.delete(oldest)
      oldest.dismiss()
    },
    remove (holding) {
      uploads.delete(holding)
    }
  }
}
