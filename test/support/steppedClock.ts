/**
 * A clock that stands still until a test moves it.
 * @module
 */
import { Clock } from '../../src/process/clock.ts'

/** The clock. */
export class SteppedClock extends Clock {
  private time = 100_000
  private readonly sleepers = new Set<{ readonly until: number, readonly end: () => void }>()

  override now (): number { return this.time }

  override wallTime (): number { return this.time }

  override sleep (durationMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      if (signal?.aborted === true) return resolve()
      const end = (): void => {
        this.sleepers.delete(sleeper)
        signal?.removeEventListener('abort', end)
        resolve()
      }
      const sleeper = { until: this.time + durationMs, end }
      this.sleepers.add(sleeper)
      signal?.addEventListener('abort', end, { once: true })
    })
  }

  /** Moves the time without waking anyone, as a frozen process sees it on resuming. */
  jump (durationMs: number): void { this.time += durationMs }

  /** Moves the time and wakes who has slept long enough. */
  advance (durationMs: number): void {
    this.time += durationMs
    for (const sleeper of [...this.sleepers]) {
      if (sleeper.until > this.time) continue
      sleeper.end()
    }
  }
}
