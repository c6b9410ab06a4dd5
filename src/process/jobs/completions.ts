/**
 * Outbound queue of completed and requeued items. Entries that are added while a command is in flight are batched into
 * the next command.
 * @module
 */
import type { ControlClient } from '../../connection/controlClient.ts'
import { type Command, CommandKind, type Completion, type RequeuedItem } from '../state/commands.ts'
import { chunk, type ChunkLimits } from '../program/chunk.ts'
import { createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'

/** Maximum size of one command; larger commands would block the control hosts. */
const commandSizeLimits: ChunkLimits = { records: 500, characters: 256 * 1024 }

/** Timeout of one command including retries, in milliseconds. */
const commandTimeoutMs = 10_000

/** Maximum wait before the queue is checked again, in milliseconds. */
const idleWaitMs = 1_000

/** Outbound queue of completed and requeued items. */
export interface Completions {
  /**
   * Adds a completed item.
   * @param completion - the item with its ending and result
   */
  complete (completion: Completion): void
  /**
   * Adds an item to be requeued.
   * @param item - the item with its progress
   */
  requeue (item: RequeuedItem): void
  /**
   * Waits until control has recorded all entries, for a graceful shutdown.
   * @param signal - aborts the wait
   * @returns a promise that resolves when the queue is empty or the signal aborts
   */
  sent (signal: AbortSignal): Promise<void>
  /**
   * Sends entries until the signal aborts, then tries to send the remaining ones.
   * @param signal - stops the task
   * @returns a promise that resolves when the queue is empty or, after the abort, a command fails
   */
  run (signal: AbortSignal): Promise<void>
}

/** Values that wait to be sent in a command of one kind. */
interface CommandQueue<Value> {
  readonly values: Value[]
  /** Returns the size of a value in characters. */
  readonly countCharacters: (value: Value) => number
  readonly createCommand: (values: readonly Value[]) => Command
}

/**
 * Creates an empty queue.
 * @param control - client for the leader
 * @param logger - the logger
 * @returns the queue
 */
export function createCompletions (control: ControlClient, logger: Logger): Completions {
  const completionQueue: CommandQueue<Completion> = {
    values: [],
    countCharacters: completion => completion.result.length,
    createCommand: completions => ({ kind: CommandKind.Complete, completions })
  }
  const requeueQueue: CommandQueue<RequeuedItem> = {
    values: [],
    countCharacters: item => item.partial.length,
    createCommand: items => ({ kind: CommandKind.Requeue, items })
  }
  const added = createCondition()
  const emptied = createCondition()

  function isEmpty (): boolean {
    return completionQueue.values.length === 0 && requeueQueue.values.length === 0
  }

  // Values stay queued after a failure. Sending them again is safe, since the commands are idempotent.
  async function sendChunk<Value> (queue: CommandQueue<Value>): Promise<boolean> {
    const [values] = chunk(queue.values, commandSizeLimits, queue.countCharacters)
    if (values === undefined) return true
    const outcome = await control.execute(queue.createCommand(values), commandTimeoutMs)
    if (outcome.isOk()) queue.values.splice(0, values.length)
    else logger.write(LogEvents.dispatchFailed, { failure: outcome.error })
    return outcome.isOk()
  }

  async function send (): Promise<boolean> {
    return await sendChunk(completionQueue) && await sendChunk(requeueQueue)
  }

  return {
    complete (completion) {
      completionQueue.values.push(completion)
      added.notify()
    },
    requeue (item) {
      requeueQueue.values.push(item)
      added.notify()
    },
    async sent (signal) {
      while (!isEmpty() && !signal.aborted) await emptied.wait(idleWaitMs, signal)
    },
    async run (signal) {
      while (!signal.aborted) {
        if (isEmpty()) await added.wait(idleWaitMs, signal)
        // A failed call has already been retried for its full timeout, so this loop does not spin.
        await send()
        if (isEmpty()) emptied.notify()
      }
      while (!isEmpty()) {
        if (!await send()) break
      }
    }
  }
}
