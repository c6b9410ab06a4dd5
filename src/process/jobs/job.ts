/**
 * Sealed jobs, their items and their queues of waiting items.
 * @module
 */
import type { Ending, Holder, Item } from '../state/commands.ts'

/** Phase of an item. */
export const ItemPhase = { Waiting: 'waiting', Granted: 'granted', Started: 'started', Ended: 'ended' } as const
export type ItemPhase = typeof ItemPhase[keyof typeof ItemPhase]

/** An item of a sealed job. */
export interface JobItem {
  /** As submitted; the input is cleared when the item has ended. */
  item: Item
  phase: ItemPhase
  /** Number of the last grant; 0 before the first. */
  grant: number
  holder: Holder | undefined
  /** Number of attempts that count towards the attempt limit. */
  attempts: number
  /** Text generated so far. */
  partial: string
  /** Number of tokens generated so far. */
  offset: number
  ending: Ending | undefined
  result: string
}

/** A job without its items and counters. */
export interface JobHeader {
  readonly id: string
  /** Sequence number in the order of sealing, from 1. */
  readonly number: number
  readonly account: string
  readonly key: string
  readonly route: string
  readonly digest: string
  /** Wall-clock time by which the job is due, in milliseconds since the epoch. */
  readonly due: number
  cancelled: boolean
  /** Number of the last grant from this job; before its first grant, number of the last grant when it was sealed. */
  lastGrant: number
}

/** A sealed job. */
export interface Job extends JobHeader {
  readonly items: readonly JobItem[]
  readonly waiting: WaitingItems
  inFlight: number
  done: number
  failed: number
  unknown: number
}

/** Queue of the waiting items of a job. */
export interface WaitingItems {
  /**
   * Returns the priority of the next item.
   * @returns the priority, or undefined if no item is waiting
   */
  firstPriority (): number | undefined
  /**
   * Removes the next item from the queue.
   * @returns its position, or undefined if no item is waiting
   */
  take (): number | undefined
  /**
   * Returns an item to the queue.
   * @param priority - its priority
   * @param position - its position
   */
  requeue (priority: number, position: number): void
}
