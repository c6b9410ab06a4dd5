/**
 * Quarantine of live requests that crash backend servers. Their attempts are registered while they are in flight. Each
 * crash is recorded with the fingerprints that were in flight, and a request that is blamed for two crashes is
 * quarantined. Crashes detected by this host are broadcast to the other entry hosts; crashes reported by them are
 * recorded but not forwarded. Items of jobs never crash backend servers and are not registered.
 * @module
 */
import { createHash } from 'node:crypto'
import type { CrashReport } from '../../connection/share.ts'
import type { Clock } from '../program/clock.ts'
import { type Condition, createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

/** How long a crash is retained, in milliseconds. */
export const crashRetentionMs = 600_000

/** Number of blamed crashes at which a request is quarantined. */
export const blameLimit = 2

/** A request that was in flight at this number of crashes is quarantined, regardless of other suspects. */
export const presenceLimit = 3

/** How long a request whose stream broke counts as in flight, until the crash is detected, in milliseconds. */
const brokenAttemptRetentionMs = 6_000

/** Time within which a crash breaks all streams to a backend server, in milliseconds. */
const crashWindowMs = 1_000

/** How an attempt ended. */
export const AttemptEnd = {
  /** The response was complete, so the request does not crash backend servers. */
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

/** Recorded crashes of a fingerprint. */
export interface CrashCount {
  /** Number of crashes it is blamed for. */
  blamed: number
  /** Number of crashes at which it was in flight. */
  present: number
}

/** A registered attempt that is in flight. */
export interface InFlightAttempt {
  /**
   * Records the end of the attempt. Only the first call has an effect.
   * @param end - how it ended
   */
  end (end: AttemptEnd): void
}

/** Crash records and quarantine of one entry host. */
export interface Quarantine {
  /** Notified when an attempt of a suspect has ended. */
  readonly suspectEnded: Condition
  /**
   * Checks whether a request is quarantined and has to be refused.
   * @param fingerprint - its fingerprint, from `createFingerprint`
   * @returns true if it is quarantined
   */
  isQuarantined (fingerprint: string): boolean
  /**
   * Checks whether a request may be sent to a backend server. Only one suspect at a time runs on each backend server,
   * so that a crash can be attributed.
   * @param fingerprint - its fingerprint
   * @param backendServer - address of the backend server
   * @returns false if it is a suspect and another suspect is running there
   */
  canRun (fingerprint: string, backendServer: string): boolean
  /**
   * Registers an attempt immediately before it is sent.
   * @param fingerprint - fingerprint of the request
   * @param backendServer - address of the backend server
   * @param incarnation - its incarnation
   * @returns the attempt in flight
   */
  registerAttempt (fingerprint: string, backendServer: string, incarnation: string): InFlightAttempt
  /**
   * Records a crash detected by this host, with all attempts in flight, and broadcasts it to the other entry hosts.
   * @param backendServer - address of the backend server
   * @param incarnation - the incarnation that crashed
   */
  reportCrash (backendServer: string, incarnation: string): void
  /**
   * Records a crash detected by another entry host.
   * @param report - the crash report
   */
  recordCrashReport (report: CrashReport): void
}

/** Dependencies of the quarantine. */
export interface QuarantineInputs {
  readonly clock: Clock
  readonly logger: Logger
  /** Sends a crash report to the other entry hosts. */
  readonly broadcast: (report: CrashReport) => void
}

interface AttemptRecord {
  readonly fingerprint: string
  /** Key of the incarnation of the backend server, from `createIncarnationKey`. */
  readonly place: string
  readonly backendServer: string
  /** Monotonic time at which the attempt was registered, in milliseconds. */
  readonly startedAt: number
  /** Monotonic time at which its connection broke, in milliseconds. */
  brokenAt?: number
}

interface MutableCrash extends Crash {
  readonly fingerprints: Set<string>
}

/**
 * Computes the fingerprint of a request. It is the same on every entry host and for each retry.
 * @param account - the account that sent it
 * @param route - name of the route
 * @param input - input of the request
 * @returns the fingerprint
 */
export function createFingerprint (account: string, route: string, input: string): string {
  return createHash('sha256').update(JSON.stringify([account, route, input])).digest('base64url')
}

/**
 * Counts crashes by fingerprint. A request with an earlier recorded crash is a suspect. A crash without suspects is
 * blamed on all requests that were in flight, a crash with one suspect on that suspect, and a crash with several
 * suspects on none, since any of them may be innocent.
 * @param crashes - all recorded crashes
 * @returns the counts of each fingerprint
 */
export function countCrashes (crashes: Iterable<Crash>): Map<string, CrashCount> {
  const counts = new Map<string, CrashCount>()
  for (const crash of [...crashes].sort((left, right) => left.at - right.at)) {
    const suspects = [...crash.fingerprints].filter(fingerprint => counts.has(fingerprint))
    const blamed = suspects.length === 0 ? crash.fingerprints : suspects.length === 1 ? suspects : []
    for (const fingerprint of suspects) getCount(counts, fingerprint).present++
    for (const fingerprint of blamed) {
      getCount(counts, fingerprint).blamed++
      if (suspects.length === 0) getCount(counts, fingerprint).present++
    }
  }
  return counts
}

/**
 * Creates a quarantine without recorded crashes.
 * @param inputs - dependencies of the quarantine
 * @returns the quarantine
 */
export function createQuarantine (inputs: QuarantineInputs): Quarantine {
  const { clock, logger, broadcast } = inputs
  const crashes = new Map<string, MutableCrash>()
  const attempts = new Set<AttemptRecord>()
  const suspectEnded = createCondition()
  // Time of the last complete response to a former suspect; crashes up to that time no longer count against it.
  const clearedAt = new Map<string, number>()
  let counts = new Map<string, CrashCount>()

  function recount (): void {
    const before = counts
    counts = countCrashes(crashes.values())
    for (const [fingerprint, now] of counts) {
      if (isOverLimit(now) && !isOverLimit(before.get(fingerprint))) logger.write(LogEvents.requestQuarantined, { detail: fingerprint })
    }
  }

  function expire (): void {
    const now = clock.now()
    let hasChanged = false
    for (const [incarnationKey, crash] of crashes) {
      if (now - crash.at >= crashRetentionMs) hasChanged = crashes.delete(incarnationKey)
    }
    for (const attempt of attempts) {
      if (attempt.brokenAt !== undefined && now - attempt.brokenAt >= brokenAttemptRetentionMs) attempts.delete(attempt)
    }
    for (const [fingerprint, at] of clearedAt) {
      if (now - at >= crashRetentionMs) clearedAt.delete(fingerprint)
    }
    if (hasChanged) recount()
  }

  function addToCrash (incarnationKey: string, fingerprint: string, at: number): boolean {
    if (at <= (clearedAt.get(fingerprint) ?? -Infinity)) return false
    const crash = crashes.get(incarnationKey) ?? { at, fingerprints: new Set<string>() }
    crashes.set(incarnationKey, crash)
    if (crash.fingerprints.has(fingerprint)) return false
    crash.fingerprints.add(fingerprint)
    return true
  }

  function clearSuspect (fingerprint: string): void {
    if (!counts.has(fingerprint)) return
    clearedAt.set(fingerprint, clock.now())
    for (const crash of crashes.values()) crash.fingerprints.delete(fingerprint)
    recount()
  }

  return {
    suspectEnded,
    isQuarantined (fingerprint) {
      expire()
      return isOverLimit(counts.get(fingerprint))
    },
    canRun (fingerprint, backendServer) {
      if (!counts.has(fingerprint)) return true
      for (const attempt of attempts) {
        const isRunning = attempt.brokenAt === undefined && attempt.backendServer === backendServer
        if (isRunning && counts.has(attempt.fingerprint)) return false
      }
      return true
    },
    registerAttempt (fingerprint, backendServer, incarnation) {
      const attempt: AttemptRecord = { fingerprint, place: createIncarnationKey(backendServer, incarnation), backendServer, startedAt: clock.now() }
      attempts.add(attempt)
      let hasEnded = false
      return {
        end (end) {
          if (hasEnded) return
          hasEnded = true
          if (end === AttemptEnd.Broken) attempt.brokenAt = clock.now()
          else attempts.delete(attempt)
          if (counts.has(fingerprint)) suspectEnded.notify()
          if (end === AttemptEnd.Complete) clearSuspect(fingerprint)
        }
      }
    },
    reportCrash (backendServer, incarnation) {
      expire()
      const incarnationKey = createIncarnationKey(backendServer, incarnation)
      const present = [...attempts].filter(attempt => attempt.place === incarnationKey)
      const crashedAt = findCrashTime(present)
      let reported = 0
      for (const attempt of present) {
        // An attempt that began after the crash was refused by the closed port and cannot have caused it.
        if (attempt.brokenAt === undefined && attempt.startedAt > crashedAt) continue
        if (attempt.brokenAt !== undefined) attempts.delete(attempt)
        if (!addToCrash(incarnationKey, attempt.fingerprint, clock.now())) continue
        broadcast({ fingerprint: attempt.fingerprint, backendServer, incarnation, ageMs: 0 })
        reported++
      }
      if (reported === 0) return
      logger.write(LogEvents.backendServerCrashed, { peer: backendServer, value: reported })
      recount()
    },
    recordCrashReport (report) {
      if (report.ageMs >= crashRetentionMs) return
      expire()
      const incarnationKey = createIncarnationKey(report.backendServer, report.incarnation)
      if (addToCrash(incarnationKey, report.fingerprint, clock.now() - report.ageMs)) recount()
    }
  }
}

// A crash breaks all streams within `crashWindowMs`; a stream that broke earlier had another cause.
function findCrashTime (attempts: readonly AttemptRecord[]): number {
  let last = -Infinity
  for (const { brokenAt } of attempts) last = Math.max(last, brokenAt ?? -Infinity)
  let first = last
  for (const { brokenAt } of attempts) {
    if (brokenAt !== undefined && last - brokenAt < crashWindowMs) first = Math.min(first, brokenAt)
  }
  return first === -Infinity ? Infinity : first
}

function getCount (counts: Map<string, CrashCount>, fingerprint: string): CrashCount {
  const existing = counts.get(fingerprint) ?? { blamed: 0, present: 0 }
  counts.set(fingerprint, existing)
  return existing
}

function isOverLimit (counted: CrashCount | undefined): boolean {
  return counted !== undefined && (counted.blamed >= blameLimit || counted.present >= presenceLimit)
}

function createIncarnationKey (backendServer: string, incarnation: string): string {
  return `${backendServer} ${incarnation}`
}
