/**
 * Tasks that exist as long as their subject does, one for each subject.
 * @module
 */

/** Running tasks by subject. */
export interface TaskSet {
  /** How many tasks run. */
  readonly size: number
  /**
   * Starts the task of a subject unless it runs already.
   * @param key - what the task is for
   * @param run - the task; it must end when its signal aborts
   */
  ensure (key: unknown, run: (signal: AbortSignal) => Promise<void>): void
  /**
   * Aborts the tasks of other subjects.
   * @param keys - the subjects that keep their task
   */
  abortAllExcept (keys: ReadonlySet<unknown>): void
  /**
   * Waits for the tasks that run now.
   * @returns a promise that resolves when they have ended
   */
  ended (): Promise<void>
}

interface Task {
  readonly controller: AbortController
  readonly running: Promise<void>
}

/**
 * Creates an empty set.
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
