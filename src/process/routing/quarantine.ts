/**
 * Requests that crash backend servers. Live requests and batch items are registered while they are in flight; each crash
 * goes on record with the fingerprints that were in flight, and a request that is to blame for two crashes is quarantined.
 * Crashes seen here are told to the other entry hosts; crashes heard from them are recorded and not passed on.
 * @module
 */
import { createHash } from 'node:crypto'
import type { CrashReport } from '../../connection/share.ts'
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

/** How long a crash stays on record, in milliseconds. */
export const crashRetentionMs = 600_000

/** Crashes to blame for which a request is quarantined. */
export const blameLimit = 2

/** Crashes at which a request was present for which it is quarantined, however many other suspects there were. */
export const presenceLimit = 3

/** How long a request whose stream broke counts as in flight, until the crash behind it is seen, in milliseconds. */
const brokenKeepMs = 6_000

/** Time within which a crash breaks all streams of a backend server, in milliseconds. */
const burstMs = 1_000

/** How an attempt that was in flight ended. */
export const AttemptEnd = {
  /** The answer was whole, so the request does not crash backend servers. */
  Complete: 'complete',
  /** The connection broke after the request was sent; the backend server may have crashed. */
  Broken: 'broken',
  /** Anything else. */
  Other: 'other'
} as const
export type AttemptEnd = typeof AttemptEnd[keyof typeof AttemptEnd]

/** A crash of one incarnation of a backend server. */
export interface Crash {
  /** Monotonic time, in milliseconds. */
  readonly at: number
  /** Fingerprints of the requests that were in flight. */
  readonly fingerprints: ReadonlySet<string>
}

/** What a fingerprint has on record. */
export interface CrashCount {
  /** Crashes it is blamed for. */
  blamed: number
  /** Crashes at which it was in flight. */
  present: number
}

/** An attempt in flight. */
export interface InFlightAttempt {
  /**
   * Ends it. The first end stands.
   * @param end - how it ended
   */
  end (end: AttemptEnd): void
}

/** Quarantine of one entry host. */
export interface Quarantine {
  /** Notified when an attempt of a suspect ends. */
  readonly suspectEnded: Condition
  /**
   * Tells whether a request is refused.
   * @param fingerprint - its fingerprint, from `fingerprintOf`
   * @returns true when it is
   */
  isQuarantined (fingerprint: string): boolean
  /**
   * Tells whether a request may be sent to a backend server: no two suspects run on one at a time.
   * @param fingerprint - its fingerprint
   * @param backendServer - address of the backend server
   * @returns false when it is a suspect and another suspect runs there
   */
  canRun (fingerprint: string, backendServer: string): boolean
  /**
   * Registers an attempt, live or batch, just before it is sent.
   * @param fingerprint - fingerprint of the request or item
   * @param backendServer - address of the backend server
   * @param incarnation - its incarnation
   * @returns the attempt in flight
   */
  registerAttempt (fingerprint: string, backendServer: string, incarnation: string): InFlightAttempt
  /**
   * Records a crash that this host saw, with everything that was in flight there, and tells the other entry hosts.
   * @param backendServer - address of the backend server
   * @param incarnation - the incarnation that crashed
   */
  reportCrash (backendServer: string, incarnation: string): void
  /**
   * Records a crash that another entry host saw.
   * @param report - its report
   */
  recordCrashReport (report: CrashReport): void
}

/** What the quarantine needs. */
export interface QuarantineInputs {
  readonly clock: Clock
  readonly logger: Logger
  /** Tells the other entry hosts. */
  readonly broadcast: (report: CrashReport) => void
}

interface OpenFlight {
  readonly fingerprint: string
  readonly place: string
  readonly backendServer: string
  /** Monotonic time at which it began, in milliseconds. */
  readonly startedAt: number
  /** Monotonic time at which its connection broke. */
  brokenAt?: number
}

interface MutableCrash extends Crash {
  readonly fingerprints: Set<string>
}

/**
 * Makes the fingerprint of a request or item. It is the same on every entry host and each time the request is sent.
 * @param account - who sent it
 * @param route - name of the route
 * @param input - the input
 * @returns the fingerprint
 */
export function createFingerprint (account: string, route: string, input: string): string {
  return createHash('sha256').update(JSON.stringify([account, route, input])).digest('base64url')
}

/**
 * Counts crashes by fingerprint. A request with an earlier crash on record is a suspect. A crash without a suspect is
 * blamed on all that were in flight, one with a single suspect on that suspect, and one with several on none of them,
 * since any of them may be innocent.
 * @param crashes - all crashes on record
 * @returns what each fingerprint has on record
 */
export function countCrashes (crashes: Iterable<Crash>): Map<string, CrashCount> {
  const counts = new Map<string, CrashCount>()
  for (const crash of [...crashes].sort((left, right) => left.at - right.at)) {
    const suspects = [...crash.fingerprints].filter(fingerprint => counts.has(fingerprint))
    const blamed = suspects.length === 0 ? crash.fingerprints : suspects.length === 1 ? suspects : []
    for (const fingerprint of suspects) count(counts, fingerprint).present++
    for (const fingerprint of blamed) {
      count(counts, fingerprint).blamed++
      if (suspects.length === 0) count(counts, fingerprint).present++
    }
  }
  return counts
}

/**
 * Creates a quarantine without crashes.
 * @param inputs - what it needs
 * @returns the quarantine
 */
export function createQuarantine (inputs: QuarantineInputs): Quarantine {
  const { clock, logger, broadcast: tell } = inputs
  const crashes = new Map<string, MutableCrash>()
  const flights = new Set<OpenFlight>()
  const suspectEnded = createCondition()
  // Time of the last whole answer of a former suspect; an earlier crash that is heard of later does not count against it.
  const clearedAt = new Map<string, number>()
  let counts = new Map<string, CrashCount>()

  function recount (): void {
    const before = counts
    counts = countCrashes(crashes.values())
    for (const [fingerprint, now] of counts) {
      if (exceedsLimit(now) && !exceedsLimit(before.get(fingerprint))) logger.write(LogEvents.requestQuarantined, { detail: fingerprint })
    }
  }

  function expire (): void {
    const now = clock.now()
    let changed = false
    for (const [place, crash] of crashes) {
      if (now - crash.at >= crashRetentionMs) changed = crashes.delete(place)
    }
    for (const flight of flights) {
      if (flight.brokenAt !== undefined && now - flight.brokenAt >= brokenKeepMs) flights.delete(flight)
    }
    for (const [fingerprint, at] of clearedAt) {
      if (now - at >= crashRetentionMs) clearedAt.delete(fingerprint)
    }
    if (changed) recount()
  }

  function addToCrash (place: string, fingerprint: string, at: number): boolean {
    if (at <= (clearedAt.get(fingerprint) ?? -Infinity)) return false
    const crash = crashes.get(place) ?? { at, fingerprints: new Set<string>() }
    crashes.set(place, crash)
    if (crash.fingerprints.has(fingerprint)) return false
    crash.fingerprints.add(fingerprint)
    return true
  }

  function forget (fingerprint: string): void {
    if (!counts.has(fingerprint)) return
    clearedAt.set(fingerprint, clock.now())
    for (const crash of crashes.values()) crash.fingerprints.delete(fingerprint)
    recount()
  }

  return {
    suspectEnded,
    isQuarantined (fingerprint) {
      expire()
      return exceedsLimit(counts.get(fingerprint))
    },
    canRun (fingerprint, backendServer) {
      if (!counts.has(fingerprint)) return true
      for (const flight of flights) {
        const runs = flight.brokenAt === undefined && flight.backendServer === backendServer
        if (runs && counts.has(flight.fingerprint)) return false
      }
      return true
    },
    registerAttempt (fingerprint, backendServer, incarnation) {
      const flight: OpenFlight = { fingerprint, place: placeOf(backendServer, incarnation), backendServer, startedAt: clock.now() }
      flights.add(flight)
      let ended = false
      return {
        end (end) {
          if (ended) return
          ended = true
          if (end === AttemptEnd.Broken) flight.brokenAt = clock.now()
          else flights.delete(flight)
          if (counts.has(fingerprint)) suspectEnded.notify()
          if (end === AttemptEnd.Complete) forget(fingerprint)
        }
      }
    },
    reportCrash (backendServer, incarnation) {
      expire()
      const place = placeOf(backendServer, incarnation)
      const present = [...flights].filter(flight => flight.place === place)
      const crashedAt = findCrashTime(present)
      let reported = 0
      for (const flight of present) {
        // An attempt that began after the crash met a closed port and was not there.
        if (flight.brokenAt === undefined && flight.startedAt > crashedAt) continue
        if (flight.brokenAt !== undefined) flights.delete(flight)
        if (!addToCrash(place, flight.fingerprint, clock.now())) continue
        tell({ fingerprint: flight.fingerprint, backendServer, incarnation, ageMs: 0 })
        reported++
      }
      if (reported === 0) return
      logger.write(LogEvents.backendServerCrashed, { peer: backendServer, value: reported })
      recount()
    },
    recordCrashReport (report) {
      if (report.ageMs >= crashRetentionMs) return
      expire()
      const place = placeOf(report.backendServer, report.incarnation)
      if (addToCrash(place, report.fingerprint, clock.now() - report.ageMs)) recount()
    }
  }
}

// A crash breaks all streams within moments; one that broke long before the last one was cut by something else.
function findCrashTime (flights: readonly OpenFlight[]): number {
  let last = -Infinity
  for (const { brokenAt } of flights) last = Math.max(last, brokenAt ?? -Infinity)
  let first = last
  for (const { brokenAt } of flights) {
    if (brokenAt !== undefined && last - brokenAt < burstMs) first = Math.min(first, brokenAt)
  }
  return first === -Infinity ? Infinity : first
}

function count (counts: Map<string, CrashCount>, fingerprint: string): CrashCount {
  const present = counts.get(fingerprint) ?? { blamed: 0, present: 0 }
  counts.set(fingerprint, present)
  return present
}

function exceedsLimit (counted: CrashCount | undefined): boolean {
  return counted !== undefined && (counted.blamed >= blameLimit || counted.present >= presenceLimit)
}

function placeOf (backendServer: string, incarnation: string): string {
  return `${backendServer} ${incarnation}`
}
