/**
 * A sealed job, its items, and the order of those that wait.
 * @module
 */
import type { Ending, Holder, Item } from '../state/commands.ts'

/** Where an item stands. */
export const ItemPhase = { Waiting: 'waiting', Granted: 'granted', Started: 'started', Ended: 'ended' } as const
export type ItemPhase = typeof ItemPhase[keyof typeof ItemPhase]

/** An item of a sealed job. */
export interface JobItem {
  /** As submitted; the input is dropped once the item has ended. */
  item: Item
  phase: ItemPhase
  /** Number of the last grant, 0 before the first. */
  grant: number
  holder: Holder | undefined
  /** Attempts that ran. */
  attempts: number
  partial: string
  offset: number
  ending: Ending | undefined
  result: string
}

/** What stays the same about a job, and whether it is cancelled. */
export interface JobHeader {
  readonly id: string
  /** Position in the order in which jobs were sealed, from 1. */
  readonly number: number
  readonly account: string
  readonly key: string
  readonly route: string
  readonly digest: string
  readonly due: number
  cancelled: boolean
  /** Number of the last grant made from this job; for a job without a grant, of the last one before it was sealed. */
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

/** Waiting items of a job. */
export interface WaitingItems {
  /**
   * Reads the priority of the item that goes next.
   * @returns the priority, or undefined when nothing waits
   */
  firstPriority (): number | undefined
  /**
   * Takes the item that goes next.
   * @returns its position, or undefined when nothing waits
   */
  take (): number | undefined
  /**
   * Puts an item back.
   * @param priority - its priority
   * @param position - its position
   */
  requeue (priority: number, position: number): void
}
