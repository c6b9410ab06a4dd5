/**
 * Traits of requests that crash backend servers, as applied from the replicated log. They are durable, so that a part that
 * crashes servers is not tried anew after a change of the leader or a restart of all hosts.
 * @module
 */
import type { Trait } from '../../request/requestTraits.ts'
import { type CommandOf, done, type Outcome } from './commands.ts'

/** Maximum number of crashes that are kept; the oldest are removed first. */
export const maxServerCrashes = 200

/** How long a crash is kept, in milliseconds. */
export const crashRetentionMs = 600_000

/** Maximum number of traits that are kept; the oldest are removed first. */
const maxTraits = 1_000

/** A trait that was blamed for crashes. */
export interface QuarantinedTrait {
  readonly trait: Trait
  /** Number of crashes that are attributed to it. */
  readonly crashes: number
  /** Whether requests with the trait are refused. If not, the next crash under one quarantines it again. */
  readonly isBlocked: boolean
}

/** A crash of one start of a backend server under requests that had no output yet. */
export interface RecordedServerCrash {
  /** Names the backend server and its start. */
  readonly key: string
  /** Time of day of the first report, in milliseconds. */
  readonly time: number
  /** Traits of the requests in flight, with the position of prompt parts in the request. */
  readonly traits: ReadonlyArray<readonly [trait: Trait, position: number]>
  /** Trait that the crash is attributed to. */
  readonly attributedTo?: Trait | undefined
}

/** The evidence against requests that crash backend servers, the oldest first. */
export interface QuarantinedTraits {
  /** The blamed traits. */
  readonly quarantinedTraits: Map<Trait, QuarantinedTrait>
  /** The crashes by key. */
  readonly serverCrashes: Map<string, RecordedServerCrash>
}

/**
 * Applies an update of the quarantine.
 * @param state - the blamed traits and the crashes
 * @param command - the changed and the removed traits, and the new and changed crashes
 * @returns done
 */
export function updateQuarantine ({ quarantinedTraits, serverCrashes }: QuarantinedTraits, { changed, removed, crashes = [] }: CommandOf<'update quarantine'>): Outcome {
  for (const trait of removed) quarantinedTraits.delete(trait)
  for (const record of changed) quarantinedTraits.set(record.trait, record)
  for (const trait of quarantinedTraits.keys()) {
    if (quarantinedTraits.size <= maxTraits) break
    quarantinedTraits.delete(trait)
  }
  for (const crash of crashes) recordServerCrash(serverCrashes, crash)
  return done
}

function recordServerCrash (serverCrashes: Map<string, RecordedServerCrash>, crash: RecordedServerCrash): void {
  serverCrashes.set(crash.key, crash)
  for (const { key, time } of serverCrashes.values()) {
    if (serverCrashes.size > maxServerCrashes || crash.time - time >= crashRetentionMs) serverCrashes.delete(key)
  }
}
