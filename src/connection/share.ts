/**
 * What entry hosts tell one another.
 * @module
 */

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
  readonly crashes: readonly CrashReport[]
}

/** Takes shares from other entry hosts. */
export interface ShareReceiver {
  /**
   * Takes a share.
   * @param share - what changed
   * @returns true; a host that is still starting has no receiver and answers false
   */
  receive (share: Share): boolean
}
