/**
 * A condition variable for tasks: waiters are woken by a notification and do not poll.
 * @module
 */
import { type Clock, createSystemClock } from './clock.ts'

const systemClock = createSystemClock()

/** A condition that tasks can wait for. */
export interface Condition {
  /** Wakes all waiting tasks. */
  notify (): void
  /**
   * Waits for the next notification.
   * @param timeoutMs - maximum wait in milliseconds
   * @param signal - ends the wait early without an error
   * @returns true when notified, false on timeout or abort
   */
  wait (timeoutMs: number, signal?: AbortSignal): Promise<boolean>
  /**
   * Registers a callback for the next notification.
   * @param wake - called once at the next notification
   * @returns a function that removes the callback
   */
  once (wake: () => void): () => void
}

/**
 * Creates a condition.
 * @param clock - clock for timeouts; the system clock by default
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
 * @param timeoutMs - maximum wait in milliseconds
 * @param signal - ends the wait early without an error
 * @returns a promise that resolves on notification, timeout or abort
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
