/**
 * Retry policy of live requests: exponential backoff with full jitter.
 * @module
 */
import type { AttemptFailure } from '../connection/backendAttempt.ts'
import { FailureReason } from '../process/program/failure.ts'
import type { Random } from '../process/program/random.ts'

/** Upper bound of the backoff before the first retry, in milliseconds; it doubles with each further retry. */
const initialBackoffMs = 20

/** Upper bound of the backoff before any retry, in milliseconds. */
const maxBackoffMs = 1_000

/** Maximum number of attempts for one request, the first included. */
export const attemptLimit = 4

/** Inputs of the retry decision. */
export interface RetryContext {
  readonly failed: AttemptFailure
  /** Number of attempts so far, the failed one included. */
  readonly attempts: number
  readonly idempotent: boolean
  /** Time left until the deadline, in milliseconds. */
  readonly remainingMs: number
  /** Whether the retry budget of the pool allows another attempt. */
  readonly hasBudget: boolean
}

/** Kinds of retry decision. */
export const RetryKind = { Retry: 'retry', GiveUp: 'give up' } as const
export type RetryKind = typeof RetryKind[keyof typeof RetryKind]

/** Reason for which a retry is denied. */
export const DenialReason = {
  Cancelled: 'cancelled', NotIdempotent: 'not idempotent', Attempts: 'attempts', Deadline: 'deadline', Budget: 'budget'
} as const
export type DenialReason = typeof DenialReason[keyof typeof DenialReason]

/** Retry decision; `pauseMs` is the backoff before the retry, in milliseconds. */
export type RetryDecision =
  | { readonly kind: typeof RetryKind.Retry, readonly pauseMs: number }
  | { readonly kind: typeof RetryKind.GiveUp, readonly reason: DenialReason }

/**
 * Decides whether a failed attempt is retried: only a request that was not sent or is idempotent, and only within its
 * deadline, the maximum number of attempts and the retry budget.
 * @param context - the failed attempt and the limits that apply
 * @param random - source of the jitter
 * @returns the decision
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
