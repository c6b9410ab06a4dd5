/**
 * A set of running tasks, at most one per key.
 * @module
 */

/** Running tasks by key. */
export interface TaskSet {
  /** Number of running tasks. */
  readonly size: number
  /**
   * Starts the task of a key unless it is already running.
   * @param key - identifies the task
   * @param run - the task; it must end when its signal aborts
   */
  ensure (key: unknown, run: (signal: AbortSignal) => Promise<void>): void
  /**
   * Aborts the tasks of all other keys.
   * @param keys - the keys whose tasks continue
   */
  abortAllExcept (keys: ReadonlySet<unknown>): void
  /**
   * Waits for the tasks that are currently running.
   * @returns a promise that resolves when they have ended
   */
  ended (): Promise<void>
}

interface Task {
  readonly controller: AbortController
  readonly running: Promise<void>
}

/**
 * Creates an empty task set.
 * @param signal - aborts every task
 * @returns the set
 */
export function createTaskSet (signal: AbortSignal): TaskSet {
  const tasks = new Map<unknown, Task>()
  return {
    get size () { return tasks.size },
    ensure (key, run) {
      if (tasks.has(key)) return
      const controller = new AbortController()
      const running = run(AbortSignal.any([signal, controller.signal])).finally(() => { tasks.delete(key) })
      tasks.set(key, { controller, running })
    },
    abortAllExcept (keys) {
      for (const [key, { controller }] of tasks) {
        if (!keys.has(key)) controller.abort()
      }
    },
    async ended () {
      await Promise.all([...tasks.values()].map(task => task.running))
    }
  }
}
