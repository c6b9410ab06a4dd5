/**
 * The closed set of refusals and the one shape of errors towards callers.
 * @module
 */

/** Why a request was refused or failed. */
export const RefusalReason = {
  InvalidRequest: 'invalid request',
  UnsupportedContentType: 'unsupported content type',
  TooLarge: 'too large',
  UnknownRoute: 'unknown route',
  NotFound: 'not found',
  Conflict: 'conflict',
  StaleConfiguration: 'stale configuration',
  Draining: 'draining',
  Overloaded: 'overloaded',
  AccountLimit: 'account limit',
  Deadline: 'deadline',
  NoBackendServer: 'no backend server',
  Quarantined: 'quarantined',
  BackendServerFailed: 'backend server failed',
  AnswerLost: 'answer lost',
  IncompleteAnswer: 'incomplete answer',
  ControlUnavailable: 'control unavailable',
  CallerGone: 'caller gone',
  Internal: 'internal'
} as const
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason]

/** Whether the request was run. */
export const Execution = { NotRun: 'not run', Ran: 'ran', Unknown: 'unknown' } as const
export type Execution = typeof Execution[keyof typeof Execution]

/** A refusal. */
export interface Refusal {
  readonly reason: RefusalReason
  readonly execution: Execution
  readonly message: string
  /** When another try makes sense, in milliseconds. */
  readonly retryAfterMs?: number
}

/** HTTP status of each reason. */
export const statusOf = {
  [RefusalReason.InvalidRequest]: 400,
  [RefusalReason.UnsupportedContentType]: 415,
  [RefusalReason.TooLarge]: 413,
  [RefusalReason.UnknownRoute]: 404,
  [RefusalReason.NotFound]: 404,
  [RefusalReason.Conflict]: 409,
  [RefusalReason.StaleConfiguration]: 503,
  [RefusalReason.Draining]: 503,
  [RefusalReason.Overloaded]: 503,
  [RefusalReason.AccountLimit]: 429,
  [RefusalReason.Deadline]: 504,
  [RefusalReason.NoBackendServer]: 503,
  [RefusalReason.Quarantined]: 422,
  [RefusalReason.BackendServerFailed]: 502,
  [RefusalReason.AnswerLost]: 502,
  [RefusalReason.IncompleteAnswer]: 502,
  [RefusalReason.ControlUnavailable]: 503,
  [RefusalReason.CallerGone]: 499,
  [RefusalReason.Internal]: 500
} as const satisfies Readonly<Record<RefusalReason, number>>

/**
 * Creates a refusal of a request that was not run.
 * @param reason - why
 * @param message - what happened
 * @param retryAfterMs - when another try makes sense, in milliseconds
 * @returns the refusal
 */
export function refuse (reason: RefusalReason, message: string, retryAfterMs?: number): Refusal {
  return { reason, execution: Execution.NotRun, message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

/** What the attempts of a request have brought, as far as a refusal depends on it. */
export interface AttemptedWork {
  /** Tokens delivered. */
  readonly offset: number
  /** Whether the first byte of any attempt may have been sent. */
  readonly sent: boolean
}

/**
 * Tells whether a request was run.
 * @param work - what its attempts have brought
 * @returns `not run` only when no byte of any attempt was sent
 */
export function executionOf (work: AttemptedWork): Execution {
  if (work.offset > 0) return Execution.Ran
  return work.sent ? Execution.Unknown : Execution.NotRun
}

/** A request that is given up after a failed attempt. */
export interface FailedRequest {
  readonly progress: AttemptedWork
  readonly idempotent: boolean
  readonly callerGone: boolean
  readonly deadlinePassed: boolean
  readonly message: string
}

/**
 * Makes the refusal of a request that is given up after a failed attempt.
 * @param request - the request
 * @returns the refusal
 */
export function explainFailure (request: FailedRequest): Refusal {
  const { progress, message } = request
  const execution = executionOf(progress)
  if (request.callerGone) return { reason: RefusalReason.CallerGone, execution, message }
  if (request.deadlinePassed) return { reason: RefusalReason.Deadline, execution, message }
  if (execution === Execution.Ran) return { reason: RefusalReason.IncompleteAnswer, execution, message }
  if (execution === Execution.NotRun) return refuse(RefusalReason.BackendServerFailed, message, 1_000)
  return { reason: request.idempotent ? RefusalReason.BackendServerFailed : RefusalReason.AnswerLost, execution, message }
}

/** The body of an error answer. */
export interface ErrorBody {
  readonly requestId: string
  readonly error: Refusal & { readonly addresses: readonly string[] }
}
