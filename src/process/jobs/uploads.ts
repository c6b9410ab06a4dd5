/**
 * Uploads of jobs, as applied from the replicated log.
 * @module
 */
import { type CommandOf, done, notFound, type Outcome, OutcomeKind } from '../state/commands.ts'
import type { Jobs } from './jobRecords.ts'

/** Maximum number of open uploads per account; bounds the memory of aborted uploads. */
export const accountUploadLimit = 16

/**
 * Opens an upload. Opening it again has no effect, even after it was sealed.
 * @param state - all jobs
 * @param command - the command
 * @returns done, or a limit if the account has too many open uploads
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
 * Appends a chunk to an upload. A retried chunk is recognised by its sequence number and has no effect.
 * @param state - all jobs
 * @param command - the command
 * @returns done, a conflict if an earlier chunk is missing, or not found
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
 * Discards an aborted upload.
 * @param state - all jobs
 * @param command - the command; if it has a sequence number, an upload that has received further chunks is kept
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
