/**
 * Saves the progress of open items in the log, so that the next leader goes on from there. Without it every item begins
 * again when a leader ends, also when all hosts lose power at once.
 * @module
 */
import type { Clock } from '../program/clock.ts'
import { CommandKind } from '../state/commands.ts'
import type { ProgressPiece } from '../jobs/submission.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import type { Replica } from '../log/replica.ts'
import type { OpenItem, OpenItems } from './openItems.ts'

/** Time between two savings, in milliseconds: what a lost leader costs an item, against the bytes between hosts. */
const saveEveryMs = 1_500

/** Events that are worth an entry of their own; an item has some hundreds. */
const savedEvents = 8

/** Characters after which a command takes no further item, so that no command holds up the others. */
const characterLimit = 64 * 1024

/** What the task needs. */
export interface ProgressSaving {
  readonly items: OpenItems
  readonly replica: Replica
  readonly clock: Clock
  readonly logger: Logger
  readonly isLeading: () => boolean
}

/**
 * Runs until the signal aborts.
 * @param saving - what the task needs
 * @param signal - ends the task
 * @returns a promise that resolves at the end
 */
export async function runProgressSaving (saving: ProgressSaving, signal: AbortSignal): Promise<void> {
  const { items, replica, clock, logger } = saving
  while (!signal.aborted) {
    await clock.sleep(saveEveryMs, signal)
    if (signal.aborted || !saving.isLeading()) continue
    const unsaved = items.list().filter(({ isEnding, progress, saved }) => !isEnding && progress.data.length - saved >= savedEvents)
    while (unsaved.length > 0) {
      const batch = takeBatch(unsaved)
      const pieces = batch.map(describePiece)
      const outcome = await replica.propose({ kind: CommandKind.SaveProgress, pieces })
      if (outcome.isErr()) {
        // The same events go with the next saving, and a piece that was saved all the same adds nothing then.
        logger.write(LogEvents.progressUnsaved, { value: pieces.length, failure: outcome.error })
        break
      }
      for (const [position, piece] of pieces.entries()) {
        const entry = batch[position]
        if (entry !== undefined) entry.saved = piece.from + piece.data.length
      }
    }
  }
}

function takeBatch (unsaved: OpenItem[]): OpenItem[] {
  const batch: OpenItem[] = []
  let characters = 0
  while (unsaved.length > 0 && characters < characterLimit) {
    const entry = unsaved.shift() as OpenItem
    batch.push(entry)
    for (const text of entry.progress.data.slice(entry.saved)) characters += text.length
  }
  return batch
}

function describePiece ({ record, item, progress, saved }: OpenItem): ProgressPiece {
  return { job: record.submission.id, item: item.id, from: saved, data: progress.data.slice(saved), lastEvent: progress.lastEvent ?? -1 }
}
