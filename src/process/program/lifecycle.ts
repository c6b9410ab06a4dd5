/**
 * The life-cycle manager: owns resources and tasks and cleans up in reverse order.
 * @module
 */
import { setMaxListeners } from 'node:events'
import { createFailure, FailureReason, Step, type Failure } from './failure.ts'

/** Owner of resources and tasks. */
export interface Lifecycle {
  /** Aborts when closing begins. */
  readonly signal: AbortSignal
  /** The failure that ended the life cycle, if one did. */
  readonly cause: Failure | undefined
  /**
   * Registers a clean-up step. Steps run in reverse order of registration.
   * @param cleanup - the step
   */
  addCleanup (cleanup: () => void | Promise<void>): void
  /**
   * Starts a task that is awaited on closing. A rejected task ends the life cycle with a failure.
   * @param task - the task; it must end when the signal aborts
   */
  run (task: (signal: AbortSignal) => Promise<void>): void
  /**
   * Ends the life cycle because of a failure that can't be handled.
   * @param cause - the failure
   */
  fail (cause: Failure): void
  /**
   * Aborts the signal, awaits all tasks and runs the clean-up steps. May be called more than once.
   * @returns a promise that resolves when all is cleaned up
   */
  close (): Promise<void>
  /**
   * Waits for the end.
   * @returns a promise that resolves after closing
   */
  waitUntilClosed (): Promise<void>
}

/**
 * Creates a life-cycle manager.
 * @returns the manager
 */
export function createLifecycle (): Lifecycle {
  const controller = new AbortController()
  // Every task of the process may wait on this signal; the usual warning at 10 listeners would say nothing.
  setMaxListeners(0, controller.signal)
  const cleanups: Array<() => void | Promise<void>> = []
  const tasks = new Set<Promise<void>>()
  let closing: Promise<void> | undefined
  let cause: Failure | undefined
  let resolveClosed: () => void = () => {}
  const closed = new Promise<void>(resolve => { resolveClosed = resolve })

  async function closeAll (): Promise<void> {
    controller.abort()
    await Promise.all(tasks)
    for (const cleanup of cleanups.reverse()) await cleanup()
    resolveClosed()
  }

  const lifecycle: Lifecycle = {
    signal: controller.signal,
    get cause () { return cause },
    addCleanup (cleanup) {
      cleanups.push(cleanup)
    },
    run (task) {
      const running = task(controller.signal).catch((error: unknown) => {
        const message = error instanceof Error ? error.stack ?? error.message : String(error)
        lifecycle.fail(createFailure(FailureReason.Unknown, { step: Step.Start }, `task failed: ${message}`, error))
      }).finally(() => { tasks.delete(running) })
      tasks.add(running)
    },
    fail (failure) {
      cause ??= failure
      // Closing awaits the tasks, so it must not be awaited by the task that failed.
      setImmediate(() => { lifecycle.close().catch(() => {}) })
    },
    close () {
      closing ??= closeAll()
      return closing
    },
    waitUntilClosed: () => closed
  }
  return lifecycle
}
