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
  ResponseLost: 'answer lost',
  IncompleteResponse: 'incomplete answer',
  ControlUnavailable: 'control unavailable',
  CallerDisconnected: 'caller gone',
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
export const refusalStatus = {
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
  [RefusalReason.ResponseLost]: 502,
  [RefusalReason.IncompleteResponse]: 502,
  [RefusalReason.ControlUnavailable]: 503,
  [RefusalReason.CallerDisconnected]: 499,
  [RefusalReason.Internal]: 500
} as const satisfies Readonly<Record<RefusalReason, number>>

/**
 * Creates a refusal of a request that was not run.
 * @param reason - why
 * @param message - what happened
 * @param retryAfterMs - when another try makes sense, in milliseconds
 * @returns the refusal
 */
export function createRefusal (reason: RefusalReason, message: string, retryAfterMs?: number): Refusal {
  return { reason, execution: Execution.NotRun, message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

/** What the attempts of a request have brought, as far as a refusal depends on it. */
export interface AttemptProgress {
  /** Tokens delivered. */
  readonly offset: number
  /** Whether the first byte of any attempt may have been sent. */
  readonly sent: boolean
}

/**
 * Tells whether a request was run.
 * @param progress - what its attempts have brought
 * @returns `not run` only when no byte of any attempt was sent
 */
export function getExecution (progress: AttemptProgress): Execution {
  if (progress.offset > 0) return Execution.Ran
  return progress.sent ? Execution.Unknown : Execution.NotRun
}

/** A request that is given up after a failed attempt. */
export interface FailedRequest {
  readonly progress: AttemptProgress
  readonly idempotent: boolean
  readonly isCallerDisconnected: boolean
  readonly isDeadlinePassed: boolean
  readonly message: string
}

/**
 * Makes the refusal of a request that is given up after a failed attempt.
 * @param request - the request
 * @returns the refusal
 */
export function createFailureRefusal (request: FailedRequest): Refusal {
  const { progress, message } = request
  const execution = getExecution(progress)
  if (request.isCallerDisconnected) return { reason: RefusalReason.CallerDisconnected, execution, message }
  if (request.isDeadlinePassed) return { reason: RefusalReason.Deadline, execution, message }
  if (execution === Execution.Ran) return { reason: RefusalReason.IncompleteResponse, execution, message }
  if (execution === Execution.NotRun) return createRefusal(RefusalReason.BackendServerFailed, message, 1_000)
  return { reason: request.idempotent ? RefusalReason.BackendServerFailed : RefusalReason.ResponseLost, execution, message }
}

/** The body of an error answer. */
export interface ErrorBody {
  readonly requestId: string
  readonly error: Refusal & { readonly addresses: readonly string[] }
}
