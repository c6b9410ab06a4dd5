/**
 * Saves the progress of open items in the log, so that the next leader goes on from there. Without it every item begins
 * again when a leader ends, also when all hosts lose power at once.
 * @module
 */
import { chunk, type ChunkLimits, countCharacters } from '../program/chunk.ts'
import type { Clock } from '../program/clock.ts'
import { CommandKind } from '../state/commands.ts'
import type { ProgressChunk } from '../jobs/submission.ts'
import { LogEvents } from '../program/logEvents.ts'
import type { Logger } from '../program/logger.ts'
import type { Replica } from '../log/replica.ts'
import type { OpenItem, OpenItems } from './openItems.ts'

/**
 * Time between two savings, in milliseconds. A leader that ends costs an item the events of this time; every saving costs an
 * entry of the log. The trials of decision 0011 were played with this value only.
 */
const saveEveryMs = 1_500

/** Unsaved events from which an item is saved; an item has some hundreds, about 40 a second (replay of inc-5589). */
const unsavedEventsMin = 8

/** Size of one command: the ends of items must not wait long behind it. */
const commandLimits: ChunkLimits = { records: 200, characters: 64 * 1024 }

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
    const unsaved = items.list().filter(entry => !entry.isEnding && listUnsaved(entry).length >= unsavedEventsMin)
    for (const entries of chunk(unsaved, commandLimits, entry => countCharacters(listUnsaved(entry)))) {
      const pieces = entries.map(describePiece)
      const outcome = await replica.propose({ kind: CommandKind.SaveProgress, pieces })
      if (outcome.isErr()) {
        // The same events go with the next saving, and a piece that was saved all the same adds nothing then.
        logger.write(LogEvents.progressSaveFailed, { value: pieces.length, failure: outcome.error })
        break
      }
      for (const [position, entry] of entries.entries()) entry.saved += pieces[position]?.data.length ?? 0
    }
  }
}

function listUnsaved ({ progress, saved }: OpenItem): string[] {
  return progress.data.slice(saved)
}

function describePiece (entry: OpenItem): ProgressChunk {
  const { record, item, progress, saved } = entry
  return { job: record.submission.id, item: item.id, from: saved, data: listUnsaved(entry), lastEvent: progress.lastEvent ?? -1 }
}
