/**
 * Sealing and cancelling jobs, as applied from the replicated log.
 * @module
 */
import { type CommandOf, done, notFound, type Outcome, OutcomeKind } from '../state/commands.ts'
import { createItem, identityOf, type Jobs, type Upload } from './jobRecords.ts'
import type { Job } from './job.ts'
import { placeJob } from './jobSchedule.ts'
import { createWaitingItems } from './waitingItems.ts'

/**
 * Makes a job of an upload. The same account and key with the same digest yield the job that exists. The command names
 * account and key, so that it finds that job again when the upload is gone and the first outcome was lost.
 * @param state - all jobs
 * @param command - the command
 * @returns the job, a conflict when the key is used with other content, or not found
 */
export function seal (state: Jobs, command: CommandOf<'seal'>): Outcome {
  const upload = state.uploads.get(command.upload)
  const earlier = state.jobs.get(state.byKey.get(identityOf(command.account, command.key)) ?? '')
  if (earlier !== undefined) {
    state.uploads.delete(command.upload)
    if (earlier.digest === command.digest) return { kind: OutcomeKind.Job, job: earlier.id }
    return { kind: OutcomeKind.Conflict, text: 'the key is already used with other content' }
  }
  if (upload === undefined) return notFound
  if (upload.account !== command.account || upload.key !== command.key) return { kind: OutcomeKind.Conflict, text: 'the upload is of another job' }
  if (upload.items.length !== command.count) return { kind: OutcomeKind.Conflict, text: 'items of the upload are missing' }
  state.uploads.delete(upload.id)
  const job = createJob(state, upload, command.digest)
  state.jobs.set(job.id, job)
  state.byKey.set(identityOf(job.account, job.key), job.id)
  placeJob(state.schedule, job)
  return { kind: OutcomeKind.Job, job: job.id }
}

/**
 * Cancels a job. Items that wait are never granted again. Granted ones stay with their holders, so that control knows
 * who has to stop, and ends that they report still count. Finished results stay.
 * @param state - all jobs
 * @param command - the command
 * @returns done or not found
 */
export function cancelJob (state: Jobs, command: CommandOf<'cancel job'>): Outcome {
  const job = state.jobs.get(command.job)
  if (job === undefined) return notFound
  job.cancelled = true
  placeJob(state.schedule, job)
  return done
}

function createJob (state: Jobs, upload: Upload, digest: string): Job {
  const { id, account, key, route, due } = upload
  const items = upload.items.map(createItem)
  return {
    id,
    number: state.jobs.size + 1,
    account,
    key,
    route,
    digest,
    due,
    items,
    waiting: createWaitingItems(items),
    cancelled: false,
    inFlight: 0,
    done: 0,
    failed: 0,
    unknown: 0,
    lastGrant: state.grants
  }
}
