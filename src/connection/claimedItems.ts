/**
 * Items granted to this host for one backend server that are not running: claimed ahead, or stopped by a yield.
 * @module
 */
import { CommandKind, type Grant, OutcomeKind } from '../process/state/commands.ts'
import type { Condition } from '../process/program/condition.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import type { BatchServices } from './batchServices.ts'

/** Time without free capacity after which waiting items are requeued at control, to run elsewhere, in milliseconds. */
export const maxHoldMs = 250

/** Delay after a claim that found no waiting item, and between two attempts of a failed claim, in milliseconds. */
const claimRetryDelayMs = 200

/** Timeout for one attempt of a claim, in milliseconds. */
const claimTimeoutMs = 2_000

/** Maximum number of attempts of a claim that gets no response. Items granted to it are then requeued when the session expires. */
const maxClaimAttempts = 10

/** An item granted to this host, with its progress. */
export interface ClaimedItem {
  readonly grant: Grant
  /** Text generated so far. */
  partial: string
  /** Number of tokens generated so far. */
  offset: number
}

/** Items that wait to run on one backend server under one lease. */
export interface ClaimedItems {
  readonly waiting: readonly ClaimedItem[]
  /** Whether control reported that the lease is not held, or did not respond to a claim. */
  readonly isLeaseLost: boolean
  /** Sequence number of the last claim whose outcome was received; control revokes the grants of a later one. */
  readonly received: number
  /**
   * Claims more items when few are waiting; does not wait for the response.
   * @param pool - name of the pool
   * @param wanted - number of items that should be waiting
   */
  refill (pool: string, wanted: number): void
  /**
   * Removes the first waiting item.
   * @returns the item, or undefined when none waits
   */
  take (): ClaimedItem | undefined
  /**
   * Adds a stopped item at the head of the waiting items.
   * @param item - the item
   */
  add (item: ClaimedItem): void
  /** Requeues all waiting items at control. */
  requeueAll (): void
  /**
   * Waits for a claim in flight and requeues all items. A claim without a response must not be abandoned: its items would
   * stay granted to this host until its session ends.
   * @returns a promise that resolves when no item is waiting
   */
  close (): Promise<void>
}

/** Dependencies and settings of the claimed items of one lease. */
export interface ClaimedItemsInputs {
  /** Address of the backend server. */
  readonly address: string
  /** Number of the lease. */
  readonly lease: number
  readonly services: BatchServices
  /** Notified when a claim has ended. */
  readonly changed: Condition
}

/**
 * Creates the claimed items of a new lease; none is waiting yet.
 * @param inputs - dependencies and settings of the claimed items
 * @returns the claimed items
 */
export function createClaimedItems (inputs: ClaimedItemsInputs): ClaimedItems {
  const { address, lease, services, changed } = inputs
  const { control, clock, holder, logger, completions } = services
  let waiting: ClaimedItem[] = []
  let isLeaseLost = false
  let received = 0
  let pendingClaim: Promise<void> | undefined
  let claimsPausedUntil = 0

  async function claim (pool: string, count: number): Promise<void> {
    const sequence = services.nextSequence()
    for (let attempts = 0; attempts < maxClaimAttempts && !services.ended.aborted; attempts++) {
      // The same sequence number gets the same grants, so a retry after a lost response loses no item.
      const outcome = await control.execute({ kind: CommandKind.Claim, backendServer: address, holder, lease, sequence, pool, count }, claimTimeoutMs)
      if (outcome.isOk()) {
        received = sequence
        if (outcome.value.kind === OutcomeKind.Grants) addGrants(outcome.value.grants)
        else isLeaseLost = true
        return
      }
      logger.write(LogEvents.claimFailed, { peer: address, failure: outcome.error })
      await clock.sleep(claimRetryDelayMs, services.ended)
    }
    isLeaseLost = true
  }

  function addGrants (grants: readonly Grant[]): void {
    if (grants.length === 0) claimsPausedUntil = clock.now() + claimRetryDelayMs
    for (const grant of grants) waiting.push({ grant, partial: grant.partial, offset: grant.offset })
  }

  function requeueAll (): void {
    for (const item of waiting) completions.requeue(createRequeuedItem(item))
    waiting = []
  }

  return {
    get waiting () { return waiting },
    get isLeaseLost () { return isLeaseLost },
    get received () { return received },
    refill (pool, wanted) {
      if (pendingClaim !== undefined || isLeaseLost || clock.now() < claimsPausedUntil) return
      // Claims only when at most half of the wanted items are waiting, so that one command covers several items.
      if (waiting.length * 2 > wanted || wanted === 0) return
      pendingClaim = claim(pool, wanted - waiting.length).finally(() => {
        pendingClaim = undefined
        changed.notify()
      })
    },
    take: () => waiting.shift(),
    add (item) {
      waiting.unshift(item)
    },
    requeueAll,
    async close () {
      await pendingClaim
      requeueAll()
    }
  }
}

/**
 * Describes an item that is requeued without having been attempted.
 * @param item - the item
 * @returns the entry for the requeue command, with the progress so far; it does not count as an attempt
 */
export function createRequeuedItem (item: ClaimedItem): { job: string, position: number, grant: number, partial: string, offset: number, attempted: boolean } {
  const { job, position, grant } = item.grant
  return { job, position, grant, partial: item.partial, offset: item.offset, attempted: false }
}
