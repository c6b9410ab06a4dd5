/**
 * The active version of the tables on an entry host. Only newer versions are applied.
 * @module
 */
import { type Configuration, emptyConfiguration } from './tables.ts'

/** Time during which a confirmed configuration is valid, in milliseconds, measured from the sending of the poll that confirmed it. */
export const confirmationValidityMs = 6_000

/** Active version of the tables. */
export interface CurrentVersion {
  /** Active configuration. */
  readonly configuration: Configuration
  /**
   * Applies a newer version; ignores an older or equal one.
   * @param configuration - the version received
   * @returns true when it was newer
   */
  apply (configuration: Configuration): boolean
  /**
   * Records that control has confirmed the active version.
   * @param requestedAt - monotonic time at which the confirming poll was sent, in milliseconds
   */
  confirm (requestedAt: number): void
  /**
   * Checks whether new requests may be accepted under the active version.
   * @param now - monotonic time, in milliseconds
   * @returns false before the first confirmation and when the last one has expired
   */
  isConfirmed (now: number): boolean
}

/**
 * Creates the active version: the empty configuration, not yet confirmed.
 * @returns the active version
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
