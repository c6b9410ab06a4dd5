/**
 * Refusals of requests: their reasons, HTTP statuses and the error body that callers receive.
 * @module
 */

/** Reason for which a request was refused or failed. */
export const RefusalReason = {
  InvalidRequest: 'invalid request',
  UnsupportedContentType: 'unsupported content type',
  TooLarge: 'too large',
  Stalled: 'stalled',
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

/** Whether a request was run. */
export const Execution = { NotRun: 'not run', Ran: 'ran', Unknown: 'unknown' } as const
export type Execution = typeof Execution[keyof typeof Execution]

/** Refusal of a request. */
export interface Refusal {
  readonly reason: RefusalReason
  readonly execution: Execution
  readonly message: string
  /** Suggested delay before a retry, in milliseconds. */
  readonly retryAfterMs?: number
}

/** HTTP status of each reason. */
export const refusalStatus = {
  [RefusalReason.InvalidRequest]: 400,
  [RefusalReason.UnsupportedContentType]: 415,
  [RefusalReason.TooLarge]: 413,
  [RefusalReason.Stalled]: 408,
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
 * @param reason - the reason
 * @param message - description for the caller
 * @param retryAfterMs - suggested delay before a retry, in milliseconds
 * @returns the refusal
 */
export function createRefusal (reason: RefusalReason, message: string, retryAfterMs?: number): Refusal {
  return { reason, execution: Execution.NotRun, message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
}

/** Progress of the attempts of a request, as far as a refusal depends on it. */
export interface AttemptProgress {
  /** Number of tokens delivered. */
  readonly offset: number
  /** Whether the first byte of any attempt may have been sent. */
  readonly sent: boolean
}

/**
 * Determines whether a request was run.
 * @param progress - progress of its attempts
 * @returns `not run` only when no byte of any attempt was sent
 */
export function getExecution (progress: AttemptProgress): Execution {
  if (progress.offset > 0) return Execution.Ran
  return progress.sent ? Execution.Unknown : Execution.NotRun
}

/** Request that is not retried after a failed attempt. */
export interface FailedRequest {
  readonly progress: AttemptProgress
  readonly idempotent: boolean
  readonly isCallerDisconnected: boolean
  readonly isDeadlinePassed: boolean
  readonly message: string
}

/**
 * Creates the refusal of a request that is not retried after a failed attempt.
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

/** Body of an error response. */
export interface ErrorBody {
  readonly requestId: string
  readonly error: Refusal & { readonly addresses: readonly string[] }
}
