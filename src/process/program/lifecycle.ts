/**
 * The life-cycle manager: owns resources and tasks and releases them in reverse order of registration.
 * @module
 */
import { setMaxListeners } from 'node:events'
import { createFailure, FailureReason, Step, type Failure } from './failure.ts'

/** Owner of resources and tasks. */
export interface Lifecycle {
  /** Aborts when closing starts. */
  readonly signal: AbortSignal
  /** The failure that ended the life cycle, if one did. */
  readonly cause: Failure | undefined
  /**
   * Registers a cleanup function. Cleanup functions run in reverse order of registration.
   * @param cleanup - the function
   */
  addCleanup (cleanup: () => void | Promise<void>): void
  /**
   * Starts a task that is awaited on closing. A task that rejects ends the life cycle with a failure.
   * @param task - the task; it must end when the signal aborts
   */
  run (task: (signal: AbortSignal) => Promise<void>): void
  /**
   * Ends the life cycle because of a fatal failure. Only the first failure is kept as the cause.
   * @param cause - the failure
   */
  fail (cause: Failure): void
  /**
   * Aborts the signal, awaits all tasks and runs the cleanup functions. Further calls return the same promise.
   * @returns a promise that resolves when the cleanup is complete
   */
  close (): Promise<void>
  /**
   * Waits until the life cycle has closed; does not start closing.
   * @returns a promise that resolves when the cleanup is complete
   */
  waitUntilClosed (): Promise<void>
}

/**
 * Creates a life-cycle manager.
 * @returns the manager
 */
export function createLifecycle (): Lifecycle {
  const controller = new AbortController()
  // Every task of the process may listen to this signal, so the leak warning at 10 listeners does not apply.
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
      // Deferred, since closing awaits all tasks, including the one that failed.
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
