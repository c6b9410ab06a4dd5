/**
 * Ends and returns of items on their way to control. What gathers while one command is under way goes together in the
 * next one.
 * @module
 */
import type { ControlClient } from '../../connection/controlClient.ts'
import { type Command, CommandKind, type Completion, type RequeuedItem } from '../state/commands.ts'
import { chunk, type ChunkLimits } from '../program/chunk.ts'
import { createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

/** Size of one command: a larger one would hold up the control hosts. */
const commandLimits: ChunkLimits = { records: 500, characters: 256 * 1024 }

/** Longest time for one command with all tries, in milliseconds. */
const commandLimitMs = 10_000

/** Longest wait without anything to send, in milliseconds. */
const idleMs = 1_000

/** Queue of ends and returns. */
export interface Completions {
  /** Adds the end of an item. */
  complete (completion: Completion): void
  /** Adds the return of an item. */
  requeue (returned: RequeuedItem): void
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

/** Values that wait for a command of one kind. */
interface CommandQueue<Value> {
  readonly values: Value[]
  /** Characters of a value. */
  readonly sizeOf: (value: Value) => number
  readonly commandOf: (values: readonly Value[]) => Command
}

/**
 * Creates an empty queue.
 * @param control - calls to the leader
 * @param logger - the logger
 * @returns the queue
 */
export function createCompletions (control: ControlClient, logger: Logger): Completions {
  const ends: CommandQueue<Completion> = {
    values: [],
    sizeOf: completion => completion.result.length,
    commandOf: completions => ({ kind: CommandKind.Complete, completions })
  }
  const returns: CommandQueue<RequeuedItem> = {
    values: [],
    sizeOf: item => item.partial.length,
    commandOf: items => ({ kind: CommandKind.Requeue, items })
  }
  const added = createCondition()
  const emptied = createCondition()

  function isEmpty (): boolean {
    return ends.values.length === 0 && returns.values.length === 0
  }

  // A command that could not be sent stays in the queue: it may be sent again without harm.
  async function sendFirst<Value> (queue: CommandQueue<Value>): Promise<boolean> {
    const [values] = chunk(queue.values, commandLimits, queue.sizeOf)
    if (values === undefined) return true
    const outcome = await control.execute(queue.commandOf(values), commandLimitMs)
    if (outcome.isOk()) queue.values.splice(0, values.length)
    else logger.write(LogEvents.dispatchFailed, { failure: outcome.error })
    return outcome.isOk()
  }

  async function send (): Promise<boolean> {
    return await sendFirst(ends) && await sendFirst(returns)
  }

  return {
    complete (completion) {
      ends.values.push(completion)
      added.notify()
    },
    requeue (item) {
      returns.values.push(item)
      added.notify()
    },
    async sent (signal) {
      while (!isEmpty() && !signal.aborted) await emptied.wait(idleMs, signal)
    },
    async run (signal) {
      while (!signal.aborted) {
        if (isEmpty()) await added.wait(idleMs, signal)
        // The failed call was retried for its whole limit already, so this does not spin.
        await send()
        if (isEmpty()) emptied.notify()
      }
      while (!isEmpty()) {
        if (!await send()) break
      }
    }
  }
}
