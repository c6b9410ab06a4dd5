/**
 * Waits for a place of a live request within the limits of its pool and account.
 * @module
 */
import { err, ok, type Result } from 'neverthrow'
import {
  dequeue, enqueue, incrementAccount, releaseSlot, grantSlots, decrementAccount, type PoolLoad, type Waiter, WaitEnd
} from '../process/state/poolLoads.ts'
import { assertNever } from '../process/program/assert.ts'
import type { Clock } from '../process/program/clock.ts'
import type { Pool } from '../version/tables.ts'
import { AdmissionKind, decideAdmission } from './admission.ts'
import { createRefusal, type Refusal, RefusalReason } from './refusal.ts'

/** A request that asks for a place. */
export interface LiveSlotRequest {
  readonly account: string
  readonly pool: Pool
  /** Monotonic time by which the answer must be complete, in milliseconds. */
  readonly deadline: number
  readonly signal: AbortSignal
}

/** A place that a request has. */
export interface LiveSlot {
  /** Gives the place to the next request in turn. */
  release (): void
}

/** Pause before a displaced caller should try again, in milliseconds. */
const displacedRetryAfterMs = 1_000

/**
 * Takes a place, after a wait if there is none.
 * @param request - who asks
 * @param load - load of the pool
 * @param clock - the clock
 * @returns the place, or a refusal of a request that was not run
 */
export async function acquireLiveSlot (request: LiveSlotRequest, load: PoolLoad, clock: Clock): Promise<Result<LiveSlot, Refusal>> {
  const { pool, account } = request
  const decision = decideAdmission(pool, load, account, request.deadline - clock.now())
  switch (decision.kind) {
    case AdmissionKind.Refuse:
      return err(createRefusal(decision.reason, `the limit of pool ${pool.name} is reached`, decision.retryAfterMs))
    case AdmissionKind.Run:
      incrementAccount(load, account)
      load.running++
      return ok(createLiveSlot(request, load, clock))
    case AdmissionKind.Wait: {
      incrementAccount(load, account)
      decision.displaced?.end(WaitEnd.Displaced)
      const end = await waitForSlot(request, load, clock)
      if (end === WaitEnd.Granted) return ok(createLiveSlot(request, load, clock))
      decrementAccount(load, account)
      return err(createWaitRefusal(end))
    }
  }
}

function waitForSlot (request: LiveSlotRequest, load: PoolLoad, clock: Clock): Promise<WaitEnd> {
  return new Promise(resolve => {
    const waiter: Waiter = {
      account: request.account,
      end (end) {
        clearTimeout(timer)
        request.signal.removeEventListener('abort', onAbort)
        dequeue(load, waiter)
        resolve(end)
      }
    }
    const onAbort = (): void => waiter.end(WaitEnd.CallerDisconnected)
    const timer = setTimeout(() => waiter.end(WaitEnd.Deadline), Math.max(0, request.deadline - clock.now()))
    enqueue(load, waiter)
    if (request.signal.aborted) return onAbort()
    request.signal.addEventListener('abort', onAbort, { once: true })
    // A new version of the tables may have added places since the last request ended.
    grantSlots(load, request.pool.liveConcurrency)
  })
}

function createLiveSlot (request: LiveSlotRequest, load: PoolLoad, clock: Clock): LiveSlot {
  const startedAt = clock.now()
  return {
    release () {
      releaseSlot(load, clock.now() - startedAt)
      decrementAccount(load, request.account)
      grantSlots(load, request.pool.liveConcurrency)
    }
  }
}

function createWaitRefusal (end: Exclude<WaitEnd, typeof WaitEnd.Granted>): Refusal {
  switch (end) {
    case WaitEnd.Displaced:
      return createRefusal(RefusalReason.Overloaded, 'the place in the queue went to an account with fewer waiting requests', displacedRetryAfterMs)
    case WaitEnd.Deadline: return createRefusal(RefusalReason.Deadline, 'the deadline passed while the request waited')
    case WaitEnd.CallerDisconnected: return createRefusal(RefusalReason.CallerDisconnected, 'the caller has gone')
    default: return assertNever(end)
  }
}
