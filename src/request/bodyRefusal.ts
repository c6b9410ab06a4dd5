/**
 * Refusals of requests to callers and operators whose bodies can't be received.
 * @module
 */
import type { Context } from 'hono'
import { BodyProblem } from '../connection/opaqueRequest.ts'
import { assertNever } from '../process/program/assert.ts'
import type { BodyRule } from './bodyMiddleware.ts'
import type { ErrorResponses } from './errorResponses.ts'
import { createRefusal, type Refusal, RefusalReason } from './refusal.ts'

/** Retry delay suggested to a caller whose body had to give way, in milliseconds. */
const overloadedRetryAfterMs = 1_000

/**
 * Creates the refusal of an API with the error bodies of callers.
 * @param errors - encodes the refusals
 * @param ensureRequestId - returns the id of a request
 * @returns the refusal of a request whose body can't be received
 */
export function createBodyRefusal (errors: ErrorResponses, ensureRequestId: (context: Context) => string): BodyRule['refuse'] {
  return (context, problem) => errors.send(context, ensureRequestId(context), toRefusal(problem))
}

/**
 * Converts the problem of a body to a refusal.
 * @param problem - the problem
 * @returns the refusal of its request, which has not run and never will
 */
export function toRefusal (problem: BodyProblem): Refusal {
  switch (problem) {
    case BodyProblem.TooLarge: return createRefusal(RefusalReason.TooLarge, 'the body is longer than the limit')
    case BodyProblem.Stalled: return createRefusal(RefusalReason.Stalled, 'the body did not arrive in time')
    case BodyProblem.GaveWay: return createRefusal(RefusalReason.Overloaded, 'this host has no memory for the body', overloadedRetryAfterMs)
    default: return assertNever(problem)
  }
}
