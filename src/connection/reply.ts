/**
 * The wire form of a result that is sent between hosts.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { createFailure, type Failure, FailureReason, Step } from '../process/program/failure.ts'

/** Kinds of reply. */
export const ReplyKind = { Value: 'value', Failure: 'failure' } as const
export type ReplyKind = typeof ReplyKind[keyof typeof ReplyKind]

/** Wire form of a result. */
export type Reply<Value> =
  | { readonly kind: typeof ReplyKind.Value, readonly value: Value }
  | {
    readonly kind: typeof ReplyKind.Failure
    readonly reason: FailureReason
    readonly step: Step
    readonly peer?: string | undefined
    readonly alternative?: string | undefined
    readonly message: string
  }

/**
 * Converts a result to a reply.
 * @param result - the result
 * @returns the reply
 */
export function toReply<Value> (result: Result<Value, Failure>): Reply<Value> {
  if (result.isOk()) return { kind: ReplyKind.Value, value: result.value }
  const { reason, step, peer, alternative, message } = result.error
  return { kind: ReplyKind.Failure, reason, step, peer, alternative, message }
}

/** A reply whose value is made when its turn on the connection comes, so that replies that wait take no memory for their values. */
export class DeferredReply<Value> {
  private readonly createValue: () => Value

  constructor (createValue: () => Value) {
    this.createValue = createValue
  }

  /**
   * Makes the reply.
   * @param isWanted - whether the caller still waits for it
   * @returns the reply; a failure if nobody waits for the value
   */
  create (isWanted: boolean): Reply<Value> {
    if (isWanted) return { kind: ReplyKind.Value, value: this.createValue() }
    return toReply<Value>(err(createFailure(FailureReason.Rejected, { step: Step.Read }, 'the time limit of the call has passed before its turn on the connection')))
  }
}

/**
 * Converts a result whose value is made later to a reply.
 * @param result - a function that makes the value, or the failure
 * @returns the reply, typed as its receiver sees it: the connection replaces a deferred one before it is sent
 */
export function toDeferredReply<Value> (result: Result<() => Value, Failure>): Reply<Value> {
  if (result.isErr()) return toReply<Value>(err(result.error))
  return new DeferredReply(result.value) as unknown as Reply<Value>
}

/**
 * Converts a reply to a result.
 * @param reply - the reply
 * @returns the result
 */
export function fromReply<Value> (reply: Reply<Value>): Result<Value, Failure> {
  if (reply.kind === ReplyKind.Value) return ok(reply.value)
  return err(createFailure(reply.reason, reply, reply.message))
}
