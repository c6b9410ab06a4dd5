/**
 * Saves the progress of open items in the replicated log, so that the next leader resumes them there. Otherwise every item
 * would start over after the loss of a leader or a simultaneous power loss of all hosts.
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
 * Interval between two saves, in milliseconds. Losing the leader costs each item the events of one interval; each save costs
 * a log entry (see decision 0011).
 */
const saveIntervalMs = 1_500

/** Minimum number of unsaved events for a save; an item has a few hundred events, about 40 per second (replay of inc-5589). */
const minUnsavedEvents = 8

/** Maximum size of one command, so that the ends of items are not delayed behind it. */
const commandLimits: ChunkLimits = { records: 200, characters: 64 * 1024 }

/** Dependencies of the task. */
export interface ProgressSaving {
  readonly items: OpenItems
  readonly replica: Replica
  readonly clock: Clock
  readonly logger: Logger
  readonly isLeading: () => boolean
}

/**
 * Saves progress at regular intervals until the signal aborts.
 * @param saving - dependencies of the task
 * @param signal - stops the task
 * @returns a promise that resolves when the task has stopped
 */
export async function runProgressSaving (saving: ProgressSaving, signal: AbortSignal): Promise<void> {
  const { items, replica, clock, logger } = saving
  while (!signal.aborted) {
    await clock.sleep(saveIntervalMs, signal)
    if (signal.aborted || !saving.isLeading()) continue
    const unsaved = items.list().filter(entry => !entry.isEnding && listUnsaved(entry).length >= minUnsavedEvents)
    for (const entries of chunk(unsaved, commandLimits, entry => countCharacters(listUnsaved(entry)))) {
      const pieces = entries.map(createProgressChunk)
      const outcome = await replica.propose({ kind: CommandKind.SaveProgress, pieces })
      if (outcome.isErr()) {
        // The next save contains the same events; those that were saved despite the failure are ignored then.
        logger.write(LogEvents.progressSaveFailed, { value: pieces.length, failure: outcome.error })
        break
      }
      for (const [position, entry] of entries.entries()) entry.savedEvents += pieces[position]?.data.length ?? 0
    }
  }
}

function listUnsaved ({ progress, savedEvents }: OpenItem): string[] {
  return progress.data.slice(savedEvents)
}

function createProgressChunk (entry: OpenItem): ProgressChunk {
  const { record, item, progress, savedEvents } = entry
  return { job: record.submission.id, item: item.id, from: savedEvents, data: listUnsaved(entry), lastEvent: progress.lastEvent ?? -1 }
}
