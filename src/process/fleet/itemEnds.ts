/**
 * Records the ends of items in the log; ends that come up during one write are recorded together by the next.
 * @module
 */
import { CommandKind, type FinishedItem } from '../state/commands.ts'
import { createCondition } from '../program/condition.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { ProcessServices } from '../program/processServices.ts'
import type { Replica } from '../log/replica.ts'

/** How often the task looks without being notified, in milliseconds. */
const lookMs = 1_000

/** Pause after a write that failed, in milliseconds. */
const retryMs = 150

/** Why an item ended. */
export const ItemEndCause = {
  Done: 'whole output received',
  Impossible: 'server says that it can never be done',
  AttemptsUsedUp: 'attempts of the route used up',
  NoRoute: 'no route in force allows it',
  GivenUp: 'time to give up reached'
} as const
export type ItemEndCause = typeof ItemEndCause[keyof typeof ItemEndCause]

interface WaitingEnd {
  readonly end: FinishedItem
  readonly cause: ItemEndCause
}

/** What the recording needs. */
export interface ItemEndsInputs extends Pick<ProcessServices, 'clock' | 'logger' | 'lifecycle'> {
  readonly replica: Replica
  readonly isLeading: () => boolean
}

/** The recording of ends. */
export interface ItemEnds {
  /**
   * Records the end of an item.
   * @param end - the end
   * @param cause - why, for the log line
   */
  record (end: FinishedItem, cause: ItemEndCause): void
}

/**
 * Starts the recording.
 * @param inputs - what it needs
 * @returns the recording
 */
export function createItemEnds (inputs: ItemEndsInputs): ItemEnds {
  const { replica, clock, logger, lifecycle } = inputs
  const waiting: WaitingEnd[] = []
  const arrived = createCondition(clock)

  async function writeWaiting (signal: AbortSignal): Promise<void> {
    const ends = waiting.splice(0)
    const results = ends.map(({ end }) => end)
    const outcome = await replica.propose({ kind: CommandKind.FinishItems, results })
    for (const { end: { job, item, ending }, cause } of ends) {
      const reason = outcome.isOk() ? ending : outcome.error.reason
      logger.write(LogEvents.itemEndRecorded, { requestId: item, reason, inputs: { job, cause, index: replica.state.commitIndex } })
    }
    if (outcome.isOk()) return
    // An end that may not have been recorded is recorded again; the first one stands. Another leader runs its item again.
    if (inputs.isLeading()) waiting.push(...ends)
    await clock.sleep(retryMs, signal)
  }

  lifecycle.run(async signal => {
    while (!signal.aborted) {
      if (waiting.length > 0) await writeWaiting(signal)
      else await arrived.wait(lookMs, signal)
    }
  })
  return {
    record (end, cause) {
      waiting.push({ end, cause })
      arrived.notify()
    }
  }
}
