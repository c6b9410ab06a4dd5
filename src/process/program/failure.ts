/**
 * Expected errors, with the step and the peer at which they occurred.
 * @module
 */
import ModernError from 'modern-errors'

/** Why an operation failed. */
export const FailureReason = {
  Timeout: 'timeout',
  /** The host has not responded to a call in time, but responds to others. */
  Late: 'late',
  Refused: 'connection refused',
  Reset: 'connection reset',
  Aborted: 'aborted',
  /** Hosts that have to confirm a change have not done so in time. */
  Unconfirmed: 'unconfirmed',
  NotLeader: 'not leader',
  NoQuorum: 'no quorum',
  Unknown: 'unknown outcome',
  Rejected: 'rejected',
  NotFound: 'not found',
  Conflict: 'conflict',
  Invalid: 'invalid',
  Storage: 'storage',
  DiskFull: 'disk full',
  Damaged: 'damaged data',
  UnexpectedStatus: 'unexpected status',
  Incomplete: 'incomplete answer'
} as const
export type FailureReason = typeof FailureReason[keyof typeof FailureReason]

/** The operation during which an error occurred. */
export const Step = {
  Start: 'start',
  Settings: 'settings',
  Listen: 'listen',
  LoadLog: 'load log',
  AppendLog: 'append log',
  SyncLog: 'sync log',
  Bootstrap: 'form',
  Vote: 'vote',
  Append: 'append',
  Snapshot: 'snapshot',
  Propose: 'propose',
  ConfirmRead: 'confirm read',
  Watch: 'watch',
  FetchTables: 'fetch tables',
  Execute: 'execute',
  Read: 'read',
  Share: 'share',
  Report: 'report load',
  Heartbeat: 'heartbeat',
  Publish: 'publish',
  Submit: 'submit job',
  ReadJob: 'read job',
  EndJob: 'end job',
  Connect: 'connect',
  SendRequest: 'send request',
  FirstByte: 'first byte',
  ReadResponse: 'read answer',
  Dispatch: 'dispatch',
  Order: 'order',
  Upload: 'upload',
  Admit: 'admit',
  Choose: 'choose backend server',
  Administration: 'administration',
  RecordStreams: 'record streams',
  FindStreams: 'find streams'
} as const
export type Step = typeof Step[keyof typeof Step]

/** Where an error occurred. */
export interface Origin {
  readonly step: Step
  /** Address of the peer, if the operation has one. */
  readonly peer?: string | undefined
  /** Address to use instead, for example the leader's. */
  readonly alternative?: string | undefined
}

/** An expected error: returned in a result and not thrown. */
export interface Failure extends Error {
  /** Why the operation failed. */
  readonly reason: FailureReason
  /** The operation that failed. */
  readonly step: Step
  /** Address of the peer, if the operation has one. */
  readonly peer?: string | undefined
  /** Address to use instead, for example the leader's. */
  readonly alternative?: string | undefined
}

// modern-errors requires class names to end in "Error".
const FailureError = ModernError.subclass('FailureError')

/**
 * Creates a failure.
 * @param reason - why the operation failed
 * @param origin - step and peer
 * @param message - description for the log
 * @param cause - the underlying error
 * @returns the failure
 */
export function createFailure (reason: FailureReason, origin: Origin, message: string, cause?: unknown): Failure {
  const props = { reason, step: origin.step, peer: origin.peer, alternative: origin.alternative }
  return new FailureError(message, cause === undefined ? { props } : { cause, props })
}

/**
 * Converts a caught value to a failure. Socket and HTTP client error codes are mapped to reasons.
 * @param error - the caught value
 * @param origin - step and peer
 * @returns the failure; a value that is already a failure is returned unchanged
 */
export function toFailure (error: unknown, origin: Origin): Failure {
  if (error instanceof FailureError) return error as unknown as Failure
  // modern-errors appends the message of the cause, so the message stays empty to avoid repeating it.
  return createFailure(getReason(error), origin, error instanceof Error && error.message !== '' ? '' : String(error), error)
}

const reasonByCode: Readonly<Record<string, FailureReason>> = {
  ECONNREFUSED: FailureReason.Refused,
  EHOSTUNREACH: FailureReason.Refused,
  ENETUNREACH: FailureReason.Refused,
  ECONNRESET: FailureReason.Reset,
  EPIPE: FailureReason.Reset,
  UND_ERR_SOCKET: FailureReason.Reset,
  UND_ERR_CLOSED: FailureReason.Reset,
  UND_ERR_DESTROYED: FailureReason.Reset,
  UND_ERR_CONNECT_TIMEOUT: FailureReason.Timeout,
  UND_ERR_HEADERS_TIMEOUT: FailureReason.Timeout,
  UND_ERR_BODY_TIMEOUT: FailureReason.Timeout,
  UND_ERR_ABORTED: FailureReason.Aborted,
  ABORT_ERR: FailureReason.Aborted
}

function getReason (error: unknown): FailureReason {
  let current: unknown = error
  for (let depth = 0; depth < 5 && current instanceof Error; depth++) {
    if (current.name === 'TimeoutError') return FailureReason.Timeout
    if (current.name === 'AbortError') return FailureReason.Aborted
    const code = (current as NodeJS.ErrnoException).code
    const reason = code === undefined ? undefined : reasonByCode[code]
    if (reason !== undefined) return reason
    current = current.cause
  }
  return FailureReason.Unknown
}
