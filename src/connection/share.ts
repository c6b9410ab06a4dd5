/**
 * What entry hosts tell one another.
 * @module
 */
import { hashText } from '../process/program/hash.ts'

/** An announcement of a backend server, as entry hosts share it. */
export interface Announcement {
  /** Address for requests, as IP number and port. */
  readonly address: string
  readonly availabilityZone: string
  readonly region: string
  readonly pool: string
  /** Requests that it runs well at once. */
  readonly capacity: number
  readonly models: readonly string[]
  /** Whether it refuses an order with an old fencing number. */
  readonly fencingChecked: boolean
  /** Differs for each start of the backend server; a later start compares greater. */
  readonly incarnation: string
  /** Grows with each announcement of one incarnation. */
  readonly sequence: number
  readonly leaving: boolean
  /** Requests that ran when the load was last reported; late. */
  readonly running: number
  /** Least age of `running` when it was announced, in milliseconds; 0 when missing. */
  readonly loadAgeMs?: number | undefined
  /** Keys of prompt prefixes that it may hold in its cache; a hint that may be late or missing. */
  readonly cachedPrefixes?: readonly string[] | undefined
}

/** An announcement whose content is known to the receiver: only the sequence and the load are new. */
export interface Renewal {
  readonly address: string
  readonly incarnation: string
  readonly sequence: number
  readonly running: number
  readonly loadAgeMs?: number | undefined
  /** Fingerprint of the content. A receiver that took other content from another host must not renew that. */
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

/** What changed on one entry host since its last share with the receiver. */
export interface Share {
  readonly from: string
  readonly announcements: ReadonlyArray<{ readonly announcement: Announcement, readonly ageMs: number }>
  readonly renewals: readonly Renewal[]
  readonly crashes: readonly CrashReport[]
}

/** Answer to a share that was taken. */
export interface ShareResponse {
  /** Addresses of backend servers that were renewed, but whose announcement the receiver does not hold. */
  readonly unheld: readonly string[]
}

/** Takes shares from other entry hosts. */
export interface ShareReceiver {
  /**
   * Takes a share.
   * @param share - what changed
   * @returns the answer; a host that is still starting has no receiver and answers false
   */
  receive (share: Share): ShareResponse
}

/**
 * Describes an announcement without its sequence and load.
 * @param announcement - the announcement
 * @returns a text that is equal for equal content, whatever the order of the fields
 */
export function serializeContent (announcement: Announcement): string {
  const { sequence, running, loadAgeMs, ...content } = announcement
  return JSON.stringify(content, Object.keys(content).sort())
}

/**
 * Computes the fingerprint of an announcement without its sequence and load.
 * @param announcement - the announcement
 * @returns a 32-bit number
 */
export function fingerprintContent (announcement: Announcement): number {
  return hashText(serializeContent(announcement))
}

/**
 * Builds the renewal that stands for an announcement with known content.
 * @param announcement - the announcement
 * @param ageMs - its age in milliseconds
 * @returns the renewal
 */
export function createRenewal (announcement: Announcement, ageMs: number): Renewal {
  const { address, incarnation, sequence, running, loadAgeMs } = announcement
  return { address, incarnation, sequence, running, loadAgeMs, content: fingerprintContent(announcement), ageMs }
}
