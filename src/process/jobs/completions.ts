/**
 * Ends and returns of items on their way to control. What gathers while one command is under way goes together in the
 * next one.
 * @module
 */
import type { ControlClient } from '../../connection/controlClient.ts'
import { CommandKind, type Completion, type Return } from '../state/commands.ts'
import { createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

/** Most items in one command. */
const batchLimit = 500

/** Characters after which a command takes no further item, so that no command holds up the control hosts. */
const characterLimit = 256 * 1024

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
   * Waits until everything added before has been recorded, for a shutdown.
   * @param signal - ends the wait early
   * @returns a promise that resolves when the queue is empty
   */
  sent (signal: AbortSignal): Promise<void>
  /**
   * Sends until the signal aborts and the queue is empty.
   * @param signal - ends the task
   * @returns a promise that resolves at the end
   */
  run (signal: AbortSignal): Promise<void>
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
  const emptied = createCondition()

  // A command that could not be sent stays in the queue: it may be sent again without harm.
  async function send (): Promise<boolean> {
    const completions = takeBatch(ended, completion => completion.result.length)
    const items = takeBatch(returned, item => item.partial.length)
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
      if (outcome.isErr()) {
        logger.write(LogEvents.dispatchFailed, { failure: outcome.error })
        return false
      }
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
    async sent (signal) {
      while ((ended.length > 0 || returned.length > 0) && !signal.aborted) await emptied.wait(idleMs, signal)
    },
    async run (signal) {
      while (!signal.aborted) {
        if (ended.length === 0 && returned.length === 0) await added.wait(idleMs, signal)
        // The failed call was retried for its whole limit already, so this does not spin.
        await send()
        if (ended.length === 0 && returned.length === 0) emptied.notify()
      }
      while (ended.length > 0 || returned.length > 0) {
        if (!await send()) break
      }
    }
  }
}

function takeBatch<Value> (queue: readonly Value[], sizeOf: (value: Value) => number): Value[] {
  const batch: Value[] = []
  let characters = 0
  for (const value of queue) {
    batch.push(value)
    characters += sizeOf(value)
    if (batch.length >= batchLimit || characters >= characterLimit) break
  }
  return batch
}
