/**
 * Traits of requests that crash backend servers, as applied from the replicated log. They are durable, so that a part that
 * crashes servers is not tried anew after a change of the leader or a restart of all hosts.
 * @module
 */
import type { Trait } from '../../request/requestTraits.ts'
import { type CommandOf, done, type Outcome } from './commands.ts'

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

/** The blamed traits, the oldest first. */
export interface QuarantinedTraits {
  readonly quarantinedTraits: Map<Trait, QuarantinedTrait>
}

/**
 * Applies an update of the quarantine.
 * @param state - the blamed traits
 * @param command - the changed and the removed traits
 * @returns done
 */
export function updateQuarantine ({ quarantinedTraits }: QuarantinedTraits, { changed, removed }: CommandOf<'update quarantine'>): Outcome {
  for (const trait of removed) quarantinedTraits.delete(trait)
  for (const record of changed) quarantinedTraits.set(record.trait, record)
  for (const trait of quarantinedTraits.keys()) {
    if (quarantinedTraits.size <= maxTraits) break
    quarantinedTraits.delete(trait)
  }
  return done
}
