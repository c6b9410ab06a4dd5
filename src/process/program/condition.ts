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
   * @param timeoutMs - the longest wait, in milliseconds
   * @param signal - ends the wait early without an error
   * @returns true when notified, false at the limit or when aborted
   */
  wait (timeoutMs: number, signal?: AbortSignal): Promise<boolean>
  /**
   * Calls a function at the next notification.
   * @param wake - the function
   * @returns takes the function back
   */
  once (wake: () => void): () => void
}

/**
 * Creates a condition.
 * @param clock - measures the limits of waits; the timers of the process when it is not given
 * @returns the condition
 */
export function createCondition (clock: Clock = systemClock): Condition {
  let waiters = new Set<() => void>()
  const condition: Condition = {
    notify () {
      const woken = waiters
      waiters = new Set()
      for (const wake of woken) wake()
    },
    once (wake) {
      waiters.add(wake)
      return () => waiters.delete(wake)
    },
    wait: (timeoutMs, signal) => waitForAny([condition], timeoutMs, signal, clock)
  }
  return condition
}

/**
 * Waits for the next notification of either of two conditions.
 * @param first - one condition
 * @param second - the other condition
 * @param timeoutMs - the longest wait, in milliseconds
 * @param signal - ends the wait early without an error
 * @returns a promise that resolves at the notification, at the limit or when aborted
 */
export async function waitForEither (first: Condition, second: Condition, timeoutMs: number, signal: AbortSignal): Promise<void> {
  await waitForAny([first, second], timeoutMs, signal, systemClock)
}

function waitForAny (conditions: readonly Condition[], timeoutMs: number, signal: AbortSignal | undefined, clock: Clock): Promise<boolean> {
  return new Promise(resolve => {
    if (signal?.aborted === true) return resolve(false)
    const cancellations: Array<() => void> = []
    const end = (notified: boolean): void => {
      for (const cancel of cancellations) cancel()
      signal?.removeEventListener('abort', abort)
      resolve(notified)
    }
    const wake = (): void => end(true)
    const abort = (): void => end(false)
    for (const condition of conditions) cancellations.push(condition.once(wake))
    cancellations.push(clock.schedule(timeoutMs, abort))
    signal?.addEventListener('abort', abort, { once: true })
  })
}
