/**
 * A condition variable for tasks: waiting costs nothing until it is notified.
 * @module
 */

import { type Clock, createSystemClock } from './clock.ts'

const systemClock = createSystemClock()

/** A condition that tasks wait for. */
export interface Condition {
  /** Wakes every waiting task. */
  notify (): void
  /**
   * Waits for the next notification.
   * @param limitMs - the longest wait, in milliseconds
   * @param signal - ends the wait early without an error
   * @returns true when notified, false at the limit or when aborted
   */
  wait (limitMs: number, signal?: AbortSignal): Promise<boolean>
}

/**
 * Creates a condition.
 * @param clock - measures the limits of waits; the timers of the process when it is not given
 * @returns the condition
 */
export function createCondition (clock?: Clock): Condition {
  let waiters = new Set<() => void>()
  return {
    notify () {
      const woken = waiters
      waiters = new Set()
      for (const wake of woken) wake()
    },
    wait (limitMs, signal) {
      return new Promise(resolve => {
        if (signal?.aborted === true) return resolve(false)
        const end = (notified: boolean): void => {
          limit.abort()
          waiters.delete(wake)
          signal?.removeEventListener('abort', abort)
          resolve(notified)
        }
        const wake = (): void => end(true)
        const abort = (): void => end(false)
        const limit = new AbortController()
        ;(clock ?? systemClock).sleep(limitMs, limit.signal).then(abort, () => {})
        waiters.add(wake)
        signal?.addEventListener('abort', abort, { once: true })
      })
    }
  }
}

/**
 * Waits for the next notification of either of two conditions.
 * @param first - one condition
 * @param second - the other condition
 * @param limitMs - the longest wait, in milliseconds
 * @param signal - ends the wait early without an error
 * @returns a promise that resolves at the notification, at the limit or when aborted
 */
export async function waitForEither (first: Condition, second: Condition, limitMs: number, signal: AbortSignal): Promise<void> {
  const end = new AbortController()
  const either = AbortSignal.any([end.signal, signal])
  await Promise.race([first.wait(limitMs, either), second.wait(limitMs, either)])
  // The other wait would keep its timer and its listener until its own limit.
  end.abort()
}
