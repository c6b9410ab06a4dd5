/**
 * Batch items that run on this host, by job, so that a cancelled job can be stopped.
 * @module
 */
import { createCondition } from '../program/condition.ts'

/** Longest wait between two looks at the running items, in milliseconds. */
const lookMs = 200

/** Why a running item is stopped. */
export const StopCause = { Yield: 'yield', JobCancelled: 'job cancelled', LeaseEnded: 'lease ended', SessionExpired: 'session lapsed' } as const
export type StopCause = typeof StopCause[keyof typeof StopCause]

/** One running item. */
export interface RunningItem {
  readonly signal: AbortSignal
  /** Stops the item. */
  stop (cause: StopCause): void
  /** Records that it has ended. */
  finish (): void
}

/** Items that run on this host. */
export interface ItemRuns {
  /**
   * Registers a running item.
   * @param job - its job
   * @returns how it is stopped and ended
   */
  start (job: string): RunningItem
  /**
   * Stops the items of cancelled jobs.
   * @param jobs - the jobs
   * @returns a promise that resolves when they have stopped
   */
  stopJobs (jobs: readonly string[]): Promise<void>
  /** Stops all items, when the session has lapsed. */
  stopAll (): void
  /**
   * Waits until no item runs, for a shutdown.
   * @returns a promise that resolves when all have ended
   */
  waitUntilIdle (): Promise<void>
}

/**
 * Creates the list of running items.
 * @returns the list
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
      while (jobs.some(job => running.has(job))) await ended.wait(lookMs)
    },
    stopAll () {
      for (const runs of running.values()) {
        for (const controller of runs) controller.abort(StopCause.SessionExpired)
      }
    },
    async waitUntilIdle () {
      while (running.size > 0) await ended.wait(lookMs)
    }
  }
}
