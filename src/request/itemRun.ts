/**
 * The task of one granted batch item: one attempt on one backend server, after which the item is completed or requeued.
 * @module
 */
import type { BackendServerConnection } from '../connection/backendServerConnection.ts'
import { TrafficClass } from '../connection/internalClient.ts'
import type { Protocol } from '../connection/protocol.ts'
import type { AttemptFailure } from '../connection/backendAttempt.ts'
import { type Completion, Ending, type Grant, type RequeuedItem } from '../process/state/commands.ts'
import { FailureReason } from '../process/program/failure.ts'
import type { Route } from '../version/tables.ts'

/** What happens to an item after an attempt. */
export const ItemEndKind = { Complete: 'complete', Requeue: 'give back' } as const
export type ItemEndKind = typeof ItemEndKind[keyof typeof ItemEndKind]

/** Result of an attempt: the completion of the item, or the request to requeue it. */
export type ItemEnd =
  | { readonly kind: typeof ItemEndKind.Complete, readonly completion: Completion, readonly failed?: AttemptFailure }
  | { readonly kind: typeof ItemEndKind.Requeue, readonly requeue: RequeuedItem, readonly failed: AttemptFailure }

/** Dependencies and settings of the attempt. */
export interface ItemRun {
  readonly grant: Grant
  readonly route: Route
  readonly protocol: Protocol
  readonly connection: BackendServerConnection
  /** Aborts when batch work yields to live work, the job is cancelled or the session has expired. */
  readonly signal: AbortSignal
  /** Counts the bytes of each chunk sent or received. */
  readonly countBytes: (bytes: number) => void
}

/**
 * Runs one attempt of an item.
 * @param run - dependencies and settings of the attempt
 * @returns the completion of the item, or the request to requeue it
 */
export async function runItem (run: ItemRun): Promise<ItemEnd> {
  const { grant, route, protocol, connection, signal, countBytes } = run
  let partial = grant.partial
  let offset = grant.offset
  const result = await protocol.run(connection, {
    requestId: `${grant.job}/${grant.position}/${grant.grant}`,
    input: grant.item.input,
    maxTokens: grant.item.maxTokens,
    partial,
    offset,
    trafficClass: TrafficClass.Batch,
    firstByteMs: route.firstByteMs,
    betweenBytesMs: route.betweenBytesMs,
    signal,
    countBytes
  }, chunk => {
    partial += chunk.text
    offset = chunk.offset + 1
  })
  const { job, position, grant: grantNumber } = grant
  const reference = { job, position, grant: grantNumber }
  if (result.isOk()) return { kind: ItemEndKind.Complete, completion: { ...reference, ending: Ending.Done, result: partial } }
  const { error: failed } = result
  if (!route.idempotent && failed.sent) {
    return { kind: ItemEndKind.Complete, failed, completion: { ...reference, ending: Ending.Unknown, result: failed.failure.message } }
  }
  return { kind: ItemEndKind.Requeue, failed, requeue: { ...reference, partial, offset, attempted: countsAsAttempt(failed), reason: failed.failure.message } }
}

// An attempt that was cancelled, that never reached the backend server, or under which its connection broke says nothing about
// the item: the server may have crashed by itself.
function countsAsAttempt (failed: AttemptFailure): boolean {
  return failed.sent && failed.failure.reason !== FailureReason.Aborted && failed.failure.reason !== FailureReason.Reset
}
