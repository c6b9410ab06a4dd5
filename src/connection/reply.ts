/**
 * The wire form of a result that is sent between hosts.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { createFailure, type Failure, type FailureReason, type Step } from '../process/program/failure.ts'

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

/**
 * Converts a reply to a result.
 * @param reply - the reply
 * @returns the result
 */
export function fromReply<Value> (reply: Reply<Value>): Result<Value, Failure> {
  if (reply.kind === ReplyKind.Value) return ok(reply.value)
  return err(createFailure(reply.reason, reply, reply.message))
}
