/**
 * A clock that is advanced by the test.
 * @module
 */
import { setImmediate } from 'node:timers/promises'
import { Clock } from '../../src/process/program/clock.ts'

/** Turns of the event loop after each step, so that the tasks it wakes run until they wait again. */
const turnsPerStep = 6

interface Sleeper {
  readonly until: number
  readonly wake: () => void
}

/** A clock that stands still until it is advanced. */
export class FakeClock extends Clock {
  private time = 0
  private readonly sleepers = new Set<Sleeper>()

  override now (): number {
    return this.time
  }

  override wallTime (): number {
    return this.time
  }

  override sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted === true) return resolve()
      const wake = (): void => {
        this.sleepers.delete(sleeper)
        signal?.removeEventListener('abort', wake)
        resolve()
      }
      const sleeper: Sleeper = { until: this.time + Math.max(0, durationMs), wake }
      this.sleepers.add(sleeper)
      signal?.addEventListener('abort', wake, { once: true })
    })
  }

  /** Advances the time without running any task, as for a process that was suspended or is busy. */
  jump (durationMs: number): void {
    this.time += durationMs
  }

  /** Advances the time step by step; tasks run after each step. */
  async advance (durationMs: number, stepMs = 10): Promise<void> {
    const end = this.time + durationMs
    await runPendingTasks()
    while (this.time < end) {
      this.time = Math.min(end, this.time + stepMs)
      for (const sleeper of [...this.sleepers]) {
        if (sleeper.until <= this.time) sleeper.wake()
      }
      await runPendingTasks()
    }
  }
}

/** Runs all tasks that do not wait for the clock. */
export async function runPendingTasks (): Promise<void> {
  for (let turn = 0; turn < turnsPerStep; turn++) await setImmediate()
}
