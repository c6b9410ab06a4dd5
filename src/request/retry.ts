/**
 * Whether a failed attempt is followed by another one.
 * @module
 */
import type { AttemptFailure } from '../connection/backendAttempt.ts'
import { FailureReason } from '../process/program/failure.ts'
import type { Random } from '../process/program/random.ts'

/** Longest pause before the first retry, in milliseconds; it doubles with each further one. */
const initialBackoffMs = 20

/** Longest pause before any retry, in milliseconds. */
const maxBackoffMs = 1_000

/** Most attempts for one request. */
export const attemptLimit = 4

/** What the decision depends on. */
export interface RetryContext {
  readonly failed: AttemptFailure
  /** Attempts made so far, the failed one included. */
  readonly attempts: number
  readonly idempotent: boolean
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number
  /** Whether the retry budget of the pool allows another attempt. */
  readonly hasBudget: boolean
}

/** Kinds of decision. */
export const RetryKind = { Retry: 'retry', GiveUp: 'give up' } as const
export type RetryKind = typeof RetryKind[keyof typeof RetryKind]

/** Why no retry is made. */
export const DenialReason = {
  Cancelled: 'cancelled', NotIdempotent: 'not idempotent', Attempts: 'attempts', Deadline: 'deadline', Budget: 'budget'
} as const
export type DenialReason = typeof DenialReason[keyof typeof DenialReason]

/** The decision. */
export type RetryDecision =
  | { readonly kind: typeof RetryKind.Retry, readonly pauseMs: number }
  | { readonly kind: typeof RetryKind.GiveUp, readonly reason: DenialReason }

/**
 * Decides on a retry: only what did not run or is idempotent, within deadline, attempts and budget, after a pause with
 * full jitter.
 * @param context - what the decision depends on
 * @param random - random numbers
 * @returns the decision; a pause is in milliseconds
 */
export function decideRetry (context: RetryContext, random: Random): RetryDecision {
  const { failed, attempts, idempotent, remainingMs, hasBudget } = context
  if (failed.failure.reason === FailureReason.Aborted) return giveUp(DenialReason.Cancelled)
  if (failed.sent && !idempotent) return giveUp(DenialReason.NotIdempotent)
  if (attempts >= attemptLimit) return giveUp(DenialReason.Attempts)
  const pauseMs = random.next() * Math.min(maxBackoffMs, initialBackoffMs * 2 ** (attempts - 1))
  if (pauseMs >= remainingMs) return giveUp(DenialReason.Deadline)
  if (!hasBudget) return giveUp(DenialReason.Budget)
  return { kind: RetryKind.Retry, pauseMs }
}

function giveUp (reason: DenialReason): RetryDecision {
  return { kind: RetryKind.GiveUp, reason }
}
