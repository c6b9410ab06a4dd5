/**
 * Ends and returns of items on their way to control. What gathers while one command is under way goes together in the
 * next one.
 * @module
 */
import type { ControlClient } from '../connection/controlClient.ts'
import { CommandKind, type Completion, type Return } from './commands.ts'
import { createCondition } from './condition.ts'
import { LogEvents } from './logEvents.ts'
import type { Logger } from './logger.ts'

/** Most items in one command. */
const batchLimit = 500

/** Longest time for one command with all tries, in milliseconds. */
const commandLimitMs = 10_000

/** Longest wait without anything to send, in milliseconds. */
const idleMs = 1_000

/** Queue of ends and returns. */
export interface Completions {
  /** Adds the end of an item. */
  complete (completion: Completion): void
  /** Adds the return of an item. */
  giveBack (returned: Return): void
  /**
   * Sends until the signal aborts and the queue is empty.
   * @param signal - ends the task
   * @returns a promise that resolves at the end
   */
  run (signal: AbortSignal): Promise<void>
  /**
   * Waits until everything added so far has been sent.
   * @param signal - ends the wait early
   * @returns a promise that resolves when the queue is empty or the signal aborts
   */
  flushed (signal: AbortSignal): Promise<void>
}

/**
 * Creates an empty queue.
 * @param control - calls to the leader
 * @param logger - the logger
 * @returns the queue
 */
export function createCompletions (control: ControlClient, logger: Logger): Completions {
  let ended: Completion[] = []
  let returned: Return[] = []
  const added = createCondition()
  const sent = createCondition()

  // A command that could not be sent stays in the queue: it may be sent again without harm.
  async function send (): Promise<boolean> {
    const completions = ended.slice(0, batchLimit)
    const items = returned.slice(0, batchLimit)
    if (completions.length > 0) {
      const outcome = await control.execute({ kind: CommandKind.Complete, completions }, commandLimitMs)
      if (outcome.isErr()) {
        logger.write(LogEvents.dispatchFailed, { failure: outcome.error })
        return false
      }
      ended = ended.slice(completions.length)
    }
    if (items.length > 0) {
      const outcome = await control.execute({ kind: CommandKind.GiveBack, items }, commandLimitMs)
      if (outcome.isErr()) return false
      returned = returned.slice(items.length)
    }
    return true
  }

  return {
    complete (completion) {
      ended.push(completion)
      added.notify()
    },
    giveBack (item) {
      returned.push(item)
      added.notify()
    },
    async run (signal) {
      while (!signal.aborted) {
        if (ended.length === 0 && returned.length === 0) await added.wait(idleMs, signal)
        await send()
        sent.notify()
      }
      while (ended.length > 0 || returned.length > 0) {
        if (!await send()) break
      }
    },
    async flushed (signal) {
      while ((ended.length > 0 || returned.length > 0) && !signal.aborted) await sent.wait(idleMs, signal)
    }
  }
}
