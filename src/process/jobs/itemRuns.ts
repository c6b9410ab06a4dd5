/**
 * Registry of the batch items that run on this host, by job, for stopping cancelled jobs.
 * @module
 */
import { createCondition } from '../program/condition.ts'

/** Maximum interval between checks of the running items, in milliseconds. */
const maxCheckIntervalMs = 200

/** Reasons for stopping a running item. */
export const StopCause = { Yield: 'yield', JobCancelled: 'job cancelled', LeaseEnded: 'lease ended', SessionExpired: 'session lapsed' } as const
export type StopCause = typeof StopCause[keyof typeof StopCause]

/** A running item. */
export interface RunningItem {
  readonly signal: AbortSignal
  /**
   * Stops the item by aborting its signal.
   * @param cause - becomes the reason of the signal
   */
  stop (cause: StopCause): void
  /** Removes the item from the registry when it has ended. */
  finish (): void
}

/** Registry of running items. */
export interface ItemRuns {
  /**
   * Registers a running item.
   * @param job - its job
   * @returns the running item
   */
  start (job: string): RunningItem
  /**
   * Stops the items of cancelled jobs.
   * @param jobs - ids of the jobs
   * @returns a promise that resolves when the items have ended
   */
  stopJobs (jobs: readonly string[]): Promise<void>
  /** Stops all items after the session has expired. */
  stopAll (): void
  /**
   * Waits until no item is running, for a graceful shutdown.
   * @returns a promise that resolves when all items have ended
   */
  waitUntilIdle (): Promise<void>
}

/**
 * Creates an empty registry.
 * @returns the registry
 */
export function createItemRuns (): ItemRuns {
  const running = new Map<string, Set<AbortController>>()
  const ended = createCondition()
  return {
    start (job) {
      const controller = new AbortController()
      const runs = running.get(job) ?? new Set<AbortController>()
      running.set(job, runs)
      runs.add(controller)
      return {
        signal: controller.signal,
        stop: cause => controller.abort(cause),
        finish () {
          runs.delete(controller)
          if (runs.size === 0) running.delete(job)
          ended.notify()
        }
      }
    },
    async stopJobs (jobs) {
      for (const job of jobs) {
        for (const controller of running.get(job) ?? []) controller.abort(StopCause.JobCancelled)
      }
      while (jobs.some(job => running.has(job))) await ended.wait(maxCheckIntervalMs)
    },
    stopAll () {
      for (const runs of running.values()) {
        for (const controller of runs) controller.abort(StopCause.SessionExpired)
      }
    },
    async waitUntilIdle () {
      while (running.size > 0) await ended.wait(maxCheckIntervalMs)
    }
  }
}
