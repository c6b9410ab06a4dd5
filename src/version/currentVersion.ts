/**
 * The version of the tables in force on an entry host. Versions are applied only upwards.
 * @module
 */
import { type Configuration, emptyConfiguration } from './tables.ts'

/** How long a confirmed configuration may be relied on, in milliseconds. */
export const confirmationValidityMs = 6_000

/** Holder of the version in force. */
export interface CurrentVersion {
  /** The configuration in force. */
  readonly configuration: Configuration
  /**
   * Applies a newer version; an older or equal one changes nothing.
   * @param configuration - the version received
   * @returns true when it was newer
   */
  apply (configuration: Configuration): boolean
  /**
   * Records that control confirmed the version in force.
   * @param requestedAt - monotonic time at which the confirming poll was sent, in milliseconds
   */
  confirm (requestedAt: number): void
  /**
   * Tells whether new requests may be taken under the version in force.
   * @param now - monotonic time in milliseconds
   * @returns false before the first confirmation and when the last one is too old
   */
  isConfirmed (now: number): boolean
}

/**
 * Creates a holder with the empty configuration, not yet confirmed.
 * @returns the holder
 */
export function createCurrentVersion (): CurrentVersion {
  let configuration = emptyConfiguration
  let confirmedAt: number | undefined
  return {
    get configuration () { return configuration },
    apply (candidate) {
      if (candidate.version <= configuration.version) return false
      configuration = candidate
      return true
    },
    confirm (requestedAt) {
      if (confirmedAt === undefined || requestedAt > confirmedAt) confirmedAt = requestedAt
    },
    isConfirmed: now => confirmedAt !== undefined && now - confirmedAt < confirmationValidityMs
  }
}
