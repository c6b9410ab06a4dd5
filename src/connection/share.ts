/**
 * The messages by which entry hosts share announcements and crash reports.
 * @module
 */
import { hashText } from '../process/program/hash.ts'

/** An announcement of a backend server. */
export interface Announcement {
  /** Address for requests, as IP address and port. */
  readonly address: string
  readonly availabilityZone: string
  readonly region: string
  readonly pool: string
  /** Number of requests that the backend server runs well concurrently. */
  readonly capacity: number
  readonly models: readonly string[]
  /** Whether the backend server rejects an order with a stale fencing number. */
  readonly fencingChecked: boolean
  /** Unique for each start of the backend server; a later start compares greater. */
  readonly incarnation: string
  /** Increases with each announcement of one incarnation. */
  readonly sequence: number
  readonly leaving: boolean
  /** Number of requests that ran when the load was last reported; may be stale. */
  readonly running: number
  /** Minimum age of `running` at the time of the announcement, in milliseconds; 0 when missing. */
  readonly loadAgeMs?: number | undefined
  /** Keys of prompt prefixes that the backend server may have in its cache; a hint that may be stale or missing. */
  readonly cachedPrefixes?: readonly string[] | undefined
}

/** The short form of an announcement whose content the receiver has: only the sequence number and the load are new. */
export interface Renewal {
  readonly address: string
  readonly incarnation: string
  readonly sequence: number
  readonly running: number
  readonly loadAgeMs?: number | undefined
  /** Fingerprint of the content. A receiver that has received different content from another host must not renew that. */
  readonly content: number
  /** Age of the announcement in milliseconds. */
  readonly ageMs: number
}

/** A backend server that crashed while it ran a request. */
export interface CrashReport {
  /** Fingerprint of the request. */
  readonly fingerprint: string
  readonly backendServer: string
  readonly incarnation: string
  /** Age of the report in milliseconds. */
  readonly ageMs: number
}

/** Changes on one entry host since its last share with the receiver. */
export interface Share {
  /** Name of the sending host. */
  readonly from: string
  readonly announcements: ReadonlyArray<{ readonly announcement: Announcement, readonly ageMs: number }>
  readonly renewals: readonly Renewal[]
  readonly crashes: readonly CrashReport[]
}

/** Response to a share. */
export interface ShareResponse {
  /** Addresses of backend servers in the renewals whose announcement the receiver does not have. */
  readonly unheld: readonly string[]
}

/** Receives shares from other entry hosts. */
export interface ShareReceiver {
  /**
   * Applies a share.
   * @param share - the changes
   * @returns the response with the addresses whose announcement must be sent in full; the procedure of a host that is still
   * starting has no receiver and returns false instead
   */
  receive (share: Share): ShareResponse
}

/**
 * Serializes an announcement without its sequence number and load.
 * @param announcement - the announcement
 * @returns a string that is equal for equal content, independent of the order of the fields
 */
export function serializeContent (announcement: Announcement): string {
  const { sequence, running, loadAgeMs, ...content } = announcement
  return JSON.stringify(content, Object.keys(content).sort())
}

/**
 * Computes the fingerprint of an announcement without its sequence number and load.
 * @param announcement - the announcement
 * @returns a 32-bit number
 */
export function fingerprintContent (announcement: Announcement): number {
  return hashText(serializeContent(announcement))
}

/**
 * Creates the renewal for an announcement whose content the receiver has.
 * @param announcement - the announcement
 * @param ageMs - its age in milliseconds
 * @returns the renewal
 */
export function createRenewal (announcement: Announcement, ageMs: number): Renewal {
  const { address, incarnation, sequence, running, loadAgeMs } = announcement
  return { address, incarnation, sequence, running, loadAgeMs, content: fingerprintContent(announcement), ageMs }
}
