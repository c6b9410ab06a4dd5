/**
 * Commands that seal an upload into a job and cancel a job, as applied from the replicated log.
 * @module
 */
import { type CommandOf, done, notFound, type Outcome, OutcomeKind } from '../state/commands.ts'
import { countOpenItems, createJobIdentity, createJobItem, type Jobs, releaseInput, type Upload } from './jobRecords.ts'
import { ItemPhase, type Job } from './job.ts'
import { rescheduleJob } from './jobSchedule.ts'
import { createWaitingItems } from './waitingItems.ts'

/**
 * Seals an upload into a job. If a job with the same account, key and digest exists, it is returned instead. The
 * command contains account and key so that a retry finds the job after the upload was removed and the first response
 * was lost.
 * @param state - all jobs
 * @param command - the command
 * @returns the job, a conflict if the key is used with other content or the upload does not match, or not found
 */
export function sealUpload (state: Jobs, command: CommandOf<'seal'>): Outcome {
  const upload = state.uploads.get(command.upload)
  const earlier = state.jobs.get(state.byKey.get(createJobIdentity(command.account, command.key)) ?? '')
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
  state.byKey.set(createJobIdentity(job.account, job.key), job.id)
  countOpenItems(state, job)
  rescheduleJob(state.schedule, job)
  return { kind: OutcomeKind.Job, job: job.id }
}

/**
 * Cancels a job. Its waiting items are no longer granted, and their inputs are dropped. Granted items remain assigned to
 * their holders, so that control can determine which holders have to stop, and completions that the holders report are
 * still recorded. Existing results are retained.
 * @param state - all jobs
 * @param command - the command
 * @returns done, or not found
 */
export function cancelJob (state: Jobs, command: CommandOf<'cancel job'>): Outcome {
  const job = state.jobs.get(command.job)
  if (job === undefined) return notFound
  if (job.cancelled) return done
  job.cancelled = true
  for (const item of job.items) {
    if (item.phase === ItemPhase.Waiting) releaseInput(state, item)
  }
  rescheduleJob(state.schedule, job)
  return done
}

function createJob (state: Jobs, upload: Upload, digest: string): Job {
  const { id, account, key, route, due } = upload
  const items = upload.items.map(createJobItem)
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
