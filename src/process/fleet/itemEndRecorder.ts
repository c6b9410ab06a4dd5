/**
 * Records the ends of items that the leader itself ends. Ends that arrive during a write are written together by the next one.
 * @module
 */
import type { ItemReference } from '../jobs/submission.ts'
import type { Logger } from '../program/logger.ts'
import { CommandKind, Ending, type FinishedItem } from '../state/commands.ts'
import { createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { ProcessServices } from '../program/processServices.ts'
import type { Replica } from '../log/replica.ts'

/** Longest wait of the idle task before it checks for pending ends without a notification, in milliseconds. */
const idleCheckIntervalMs = 1_000

/** Delay after a failed write, in milliseconds. */
const retryDelayMs = 150

/** Why an item ended. */
export const ItemEndCause = {
  Done: 'whole output received',
  Impossible: 'server rejected the item as impossible',
  AttemptsUsedUp: 'maximum number of attempts reached',
  NoRoute: 'no batch route in the active configuration',
  GivenUp: 'give-up time reached'
} as const
export type ItemEndCause = typeof ItemEndCause[keyof typeof ItemEndCause]

interface PendingEnd {
  readonly end: FinishedItem
  readonly cause: ItemEndCause
}

/** Dependencies of the recorder. */
export interface ItemEndRecorderInputs extends Pick<ProcessServices, 'clock' | 'logger' | 'lifecycle'> {
  readonly replica: Replica
  readonly isLeading: () => boolean
}

/** Recorder of item ends. */
export interface ItemEndRecorder {
  /**
   * Queues the end of an item for the next write.
   * @param end - the end
   * @param cause - why the item ended, for the log line
   */
  record (end: FinishedItem, cause: ItemEndCause): void
}

/**
 * Logs the recorded end of an item.
 * @param logger - receives the event
 * @param item - the item
 * @param cause - why it ended
 * @param index - index of the log up to which the entries are committed
 */
export function logItemEnd (logger: Logger, { job, item }: ItemReference, cause: ItemEndCause, index: number): void {
  const reason = cause === ItemEndCause.Done ? Ending.Done : Ending.Failed
  logger.write(LogEvents.itemEndRecorded, { requestId: item, reason, inputs: { job, cause, index } })
}

/**
 * Creates a recorder and starts its task.
 * @param inputs - dependencies of the recorder
 * @returns the recorder
 */
export function createItemEndRecorder (inputs: ItemEndRecorderInputs): ItemEndRecorder {
  const { replica, clock, logger, lifecycle } = inputs
  const pending: PendingEnd[] = []
  const endQueued = createCondition(clock)

  async function writePending (signal: AbortSignal): Promise<void> {
    const ends = pending.splice(0)
    const results = ends.map(({ end }) => end)
    const outcome = await replica.propose({ kind: CommandKind.FinishItems, results })
    if (outcome.isOk()) {
      for (const { end, cause } of ends) logItemEnd(logger, end, cause, replica.state.commitIndex)
      return
    }
    // The ends may or may not have been recorded, so they are written again; the first recorded end of an item counts. If
    // this host no longer leads, the new leader runs the items again.
    if (inputs.isLeading()) pending.push(...ends)
    await clock.sleep(retryDelayMs, signal)
  }

  lifecycle.run(async signal => {
    while (!signal.aborted) {
      if (pending.length > 0) await writePending(signal)
      else await endQueued.wait(idleCheckIntervalMs, signal)
    }
  })
  return {
    record (end, cause) {
      pending.push({ end, cause })
      endQueued.notify()
    }
  }
}
