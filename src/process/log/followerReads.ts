/**
 * Confirmed reads at a follower: the leader confirms an index of the log, and the follower answers once it has applied it. The
 * data is read where it is needed and does not pass through the leader.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import { createFailure, type Failure, FailureReason, Step } from '../program/failure.ts'
import { createNotLeaderFailure, type ReplicaCore } from './replicaState.ts'

/** Longest time until this replica has applied the confirmed index, in milliseconds. */
const applyTimeoutMs = 800

/** Confirmed reads at one replica. */
export interface FollowerReads {
  /**
   * Waits until this replica has applied every entry that was committed before the call.
   * @returns the applied index, or a failure
   */
  confirm (): Promise<Result<number, Failure>>
}

/**
 * Creates the reads of a replica. Reads that begin while a request to the leader is in transit share the next one, since an
 * index that was confirmed for an earlier read may be too old for them.
 * @param core - the replica
 * @returns the reads
 */
export function createFollowerReads (core: ReplicaCore): FollowerReads {
  const { state, inputs: { clock, transport, lifecycle } } = core
  let pending: Promise<Result<number, Failure>> | undefined
  let next: Promise<Result<number, Failure>> | undefined

  async function requestIndex (): Promise<Result<number, Failure>> {
    const { leaderAddress } = state
    if (leaderAddress === undefined || leaderAddress === state.address) return err(createNotLeaderFailure(state, Step.ConfirmRead))
    return await transport.readIndex(leaderAddress)
  }

  function startRequest (): Promise<Result<number, Failure>> {
    const started = requestIndex().finally(() => {
      if (pending === started) pending = undefined
    })
    pending = started
    return started
  }

  async function requestAfter (previous: Promise<unknown>): Promise<Result<number, Failure>> {
    await previous
    next = undefined
    return await startRequest()
  }

  function requestShared (): Promise<Result<number, Failure>> {
    if (pending === undefined) return startRequest()
    next ??= requestAfter(pending)
    return next
  }

  return {
    async confirm () {
      const index = await requestShared()
      if (index.isErr()) return index
      const deadline = clock.now() + applyTimeoutMs
      while (state.appliedIndex < index.value && !lifecycle.signal.aborted) {
        const remainingMs = deadline - clock.now()
        if (remainingMs <= 0) {
          const origin = { step: Step.ConfirmRead, peer: state.address, alternative: state.leaderAddress }
          return err(createFailure(FailureReason.Rejected, origin, `entry ${index.value} is confirmed, but this replica has applied ${state.appliedIndex}`))
        }
        await state.changed.wait(remainingMs, lifecycle.signal)
      }
      return ok(state.appliedIndex)
    }
  }
}
