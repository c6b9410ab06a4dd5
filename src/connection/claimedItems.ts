/**
 * Items granted to this host for one backend server that are not running there: claimed ahead, or stopped by a yield.
 * @module
 */
import { CommandKind, type Grant, OutcomeKind } from '../process/state/commands.ts'
import type { Condition } from '../process/program/condition.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import type { BatchServices } from './batchServices.ts'

/** Time without room after which held items go back to control, to run elsewhere, in milliseconds. */
export const maxHoldMs = 250

/** Pause after a claim that found no waiting item, and between two tries of a failed one, in milliseconds. */
const claimRetryDelayMs = 200

/** Longest time for one try of a claim, in milliseconds. */
const claimTimeoutMs = 2_000

/** Tries of a claim without an answer. After them the items, if any, come back when the session expires. */
const maxClaimAttempts = 10

/** An item that this host holds. */
export interface ClaimedItem {
  readonly grant: Grant
  /** Text and tokens generated so far. */
  partial: string
  offset: number
}

/** Held items of one backend server under one lease. */
export interface ClaimedItems {
  readonly waiting: readonly ClaimedItem[]
  /** Whether control answered that the lease is not held. */
  readonly isLeaseLost: boolean
  /** Sequence of the last claim whose outcome was received; control takes back the grants of a later one. */
  readonly received: number
  /**
   * Claims more items when few wait, without waiting for the answer.
   * @param pool - name of the pool
   * @param wanted - items that should wait
   */
  refill (pool: string, wanted: number): void
  /**
   * Takes the first item that may run.
   * @param canRun - decides for one item
   * @returns the item
   */
  take (canRun: (item: ClaimedItem) => boolean): ClaimedItem | undefined
  /** Adds an item that was stopped; it goes first. */
  add (item: ClaimedItem): void
  /** Returns all waiting items to control. */
  requeueAll (): void
  /**
   * Waits until no claim is under way and returns all items. A claim without an answer must not be left behind: its
   * items would stay granted to this host for as long as its session lives.
   * @returns a promise that resolves when nothing is held
   */
  close (): Promise<void>
}

/** What held items need. */
export interface ClaimedItemsInputs {
  readonly address: string
  readonly lease: number
  readonly services: BatchServices
  /** Notified when items arrive. */
  readonly changed: Condition
}

/**
 * Creates the list for a new lease.
 * @param inputs - what it needs
 * @returns the list
 */
export function createClaimedItems (inputs: ClaimedItemsInputs): ClaimedItems {
  const { address, lease, services, changed } = inputs
  const { control, clock, holder, logger, completions } = services
  let waiting: ClaimedItem[] = []
  let isLeaseLost = false
  let received = 0
  let pendingClaim: Promise<void> | undefined
  let pausedUntil = 0

  async function claim (pool: string, count: number): Promise<void> {
    const sequence = services.nextSequence()
    for (let attempts = 0; attempts < maxClaimAttempts && !services.ended.aborted; attempts++) {
      // The same sequence gets the same grants, so a try after a lost answer loses no item.
      const outcome = await control.execute({ kind: CommandKind.Claim, backendServer: address, holder, lease, sequence, pool, count }, claimTimeoutMs)
      if (outcome.isOk()) {
        received = sequence
        if (outcome.value.kind === OutcomeKind.Grants) addGrants(outcome.value.grants)
        else isLeaseLost = true
        return
      }
      logger.write(LogEvents.claimUnanswered, { peer: address, failure: outcome.error })
      await clock.sleep(claimRetryDelayMs, services.ended)
    }
    isLeaseLost = true
  }

  function addGrants (grants: readonly Grant[]): void {
    if (grants.length === 0) pausedUntil = clock.now() + claimRetryDelayMs
    for (const grant of grants) waiting.push({ grant, partial: grant.partial, offset: grant.offset })
  }

  function requeueAll (): void {
    for (const item of waiting) completions.giveBack(toReturn(item))
    waiting = []
  }

  return {
    get waiting () { return waiting },
    get isLeaseLost () { return isLeaseLost },
    get received () { return received },
    refill (pool, wanted) {
      if (pendingClaim !== undefined || isLeaseLost || clock.now() < pausedUntil) return
      // Claims are gathered until half of the items are gone, so that one command covers several items.
      if (waiting.length * 2 > wanted || wanted === 0) return
      pendingClaim = claim(pool, wanted - waiting.length).finally(() => {
        pendingClaim = undefined
        changed.notify()
      })
    },
    take (canRun) {
      const position = waiting.findIndex(canRun)
      return position < 0 ? undefined : waiting.splice(position, 1)[0]
    },
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
 * Describes an item that did not run to its end.
 * @param item - the item
 * @returns its return, which counts as no attempt
 */
export function toReturn (item: ClaimedItem): { job: string, position: number, grant: number, partial: string, offset: number, attempted: boolean } {
  const { job, position, grant } = item.grant
  return { job, position, grant, partial: item.partial, offset: item.offset, attempted: false }
}
