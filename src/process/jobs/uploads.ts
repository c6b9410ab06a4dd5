/**
 * Uploads of jobs, as applied from the replicated log.
 * @module
 */
import { type CommandOf, done, notFound, type Outcome, OutcomeKind } from '../state/commands.ts'
import type { Jobs } from './jobRecords.ts'

/** Most uploads that one account may have open, so that uploads that broke off hold a bounded amount of memory. */
export const accountUploadLimit = 16

/**
 * Opens an upload. The same upload opened again changes nothing, also after it was sealed.
 * @param state - all jobs
 * @param command - the command
 * @returns done, or a limit when the account has too many open uploads
 */
export function openUpload (state: Jobs, command: CommandOf<'open upload'>): Outcome {
  if (state.uploads.has(command.upload) || state.jobs.has(command.upload)) return done
  const { upload: id, account, key, route, due } = command
  if (countUploads(state, account) >= accountUploadLimit) {
    return { kind: OutcomeKind.Limit, text: `the account has ${accountUploadLimit} open uploads` }
  }
  state.uploads.set(id, { id, account, key, route, due, items: [], nextSequence: 0 })
  return done
}

/**
 * Appends a chunk to an upload. A chunk sent again is recognised by its sequence number.
 * @param state - all jobs
 * @param command - the command
 * @returns done, a conflict when a chunk is missing, or not found
 */
export function appendItems (state: Jobs, command: CommandOf<'append items'>): Outcome {
  const upload = state.uploads.get(command.upload)
  if (upload === undefined) return notFound
  if (command.sequence < upload.nextSequence) return done
  if (command.sequence > upload.nextSequence) return { kind: OutcomeKind.Conflict, text: 'a chunk is missing' }
  for (const item of command.items) upload.items.push(item)
  upload.nextSequence++
  return done
}

/**
 * Discards an upload that broke off.
 * @param state - all jobs
 * @param command - the command; with a sequence, an upload that has received a chunk since then stays
 * @returns done
 */
export function discardUpload (state: Jobs, command: CommandOf<'discard upload'>): Outcome {
  const upload = state.uploads.get(command.upload)
  if (upload === undefined) return done
  if (command.sequence !== undefined && command.sequence !== upload.nextSequence) return done
  state.uploads.delete(command.upload)
  return done
}

function countUploads (state: Jobs, account: string): number {
  let count = 0
  for (const upload of state.uploads.values()) {
    if (upload.account === account) count++
  }
  return count
}
