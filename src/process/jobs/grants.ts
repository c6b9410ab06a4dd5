/**
 * Grants of items to holders, and completion and requeueing of granted items, as applied from the replicated log.
 * @module
 */
import type { Configuration } from '../../version/tables.ts'
import {
  type CommandOf, type Completion, done, Ending, type Grant, type GrantReference, type Holder, type Outcome, OutcomeKind, type RequeuedItem
} from '../state/commands.ts'
import { addHeldItem, countEnding, type Jobs, releaseInput, removeHeldItem } from './jobRecords.ts'
import { ItemPhase, type Job, type JobItem } from './job.ts'
import { adjustInFlight, chooseJob, rescheduleJob } from './jobSchedule.ts'

/** Number of attempts after which an item ends as failed. */
export const attemptLimit = 3

/**
 * Grants waiting items to the holder of a lease. A retried claim gets the same grants; an older claim that arrives late
 * gets none, since its sender no longer waits for the outcome.
 * @param state - all jobs
 * @param configuration - the active configuration
 * @param command - the command; the caller has checked the lease
 * @returns the grants, or a conflict if a newer claim was made
 */
export function claimItems (state: Jobs, configuration: Configuration, command: CommandOf<'claim'>): Outcome {
  const last = state.lastClaims.get(command.backendServer)
  if (last?.lease === command.lease && command.sequence <= last.sequence) {
    if (command.sequence < last.sequence) return { kind: OutcomeKind.Conflict, text: 'a newer claim was made under this lease' }
    return { kind: OutcomeKind.Grants, grants: describeGrants(state, last.grants) }
  }
  const routes = configuration.routes.filter(route => route.pool === command.pool).map(route => route.name)
  const references: GrantReference[] = []
  while (references.length < command.count) {
    const job = chooseJob(state.schedule, routes, state.grants + 1)
    const reference = job === undefined ? undefined : grantNextItem(state, job, command.holder)
    if (reference === undefined) break
    references.push(reference)
  }
  state.lastClaims.set(command.backendServer, { lease: command.lease, sequence: command.sequence, grants: references })
  return { kind: OutcomeKind.Grants, grants: describeGrants(state, references) }
}

/**
 * Requeues the grants of the last claim under a lease if its holder did not receive them.
 * @param state - all jobs
 * @param backendServer - address of the backend server
 * @param lease - number of the lease
 * @param received - sequence number of the last claim whose outcome the holder received; undefined if unknown
 */
export function requeueUnreceivedGrants (state: Jobs, backendServer: string, lease: number, received: number | undefined): void {
  const last = state.lastClaims.get(backendServer)
  if (received === undefined || last?.lease !== lease || last.sequence <= received) return
  for (const reference of last.grants) requeueUnattemptedItem(state, reference)
  state.lastClaims.set(backendServer, { ...last, grants: [] })
}

/**
 * Records items on non-idempotent routes as started before they are sent. A retried command is accepted again, since
 * the holder sends each granted item only once.
 * @param state - all jobs
 * @param command - the command
 * @returns for each item whether it may be sent
 */
export function startItems (state: Jobs, command: CommandOf<'start'>): Outcome {
  const accepted: boolean[] = []
  for (const reference of command.items) {
    const found = findGranted(state, reference)
    const canStart = found !== undefined && !found.job.cancelled
    if (canStart) found.item.phase = ItemPhase.Started
    accepted.push(canStart)
  }
  return { kind: OutcomeKind.Started, accepted }
}

/**
 * Completes items. Only the first completion under the current grant has an effect.
 * @param state - all jobs
 * @param command - the command
 * @returns done
 */
export function completeItems (state: Jobs, command: CommandOf<'complete'>): Outcome {
  for (const completion of command.completions) endItem(state, completion)
  return done
}

/**
 * Requeues granted items with their progress.
 * @param state - all jobs
 * @param command - the command
 * @returns done
 */
export function requeueItems (state: Jobs, command: CommandOf<'give back'>): Outcome {
  for (const requeued of command.items) requeueItem(state, requeued)
  return done
}

/**
 * Reclaims every item of an expired holder. Started items end as unknown, since they may have run.
 * @param state - all jobs
 * @param holder - the holder
 */
export function reclaimItems (state: Jobs, holder: Holder): void {
  for (const reference of [...state.held.get(holder)?.values() ?? []]) {
    const found = findGranted(state, reference)
    if (found?.item.phase === ItemPhase.Started) {
      endItem(state, { ...reference, ending: Ending.Unknown, result: 'the entry host was lost after the item had been started' })
      continue
    }
    requeueUnattemptedItem(state, reference)
  }
}

function describeGrants (state: Jobs, references: readonly GrantReference[]): Grant[] {
  const grants: Grant[] = []
  for (const reference of references) {
    const found = findGranted(state, reference)
    if (found === undefined) continue
    const { job, item } = found
    const { partial, offset, attempts } = item
    grants.push({ ...reference, route: job.route, account: job.account, item: item.item, partial, offset, attempts })
  }
  return grants
}

function grantNextItem (state: Jobs, job: Job, holder: Holder): GrantReference | undefined {
  const position = job.waiting.take()
  const entry = position === undefined ? undefined : job.items[position]
  if (position === undefined || entry === undefined) return undefined
  state.grants++
  const reference = { job: job.id, position, grant: state.grants }
  entry.phase = ItemPhase.Granted
  entry.grant = state.grants
  entry.holder = holder
  job.inFlight++
  job.lastGrant = state.grants
  addHeldItem(state, holder, reference)
  rescheduleJob(state.schedule, job)
  adjustInFlight(state.schedule, job.account, 1)
  return reference
}

function findGranted (state: Jobs, reference: GrantReference): { readonly job: Job, readonly item: JobItem } | undefined {
  const job = state.jobs.get(reference.job)
  const item = job?.items[reference.position]
  if (job === undefined || item === undefined) return undefined
  if (item.grant !== reference.grant) return undefined
  if (item.phase !== ItemPhase.Granted && item.phase !== ItemPhase.Started) return undefined
  return { job, item }
}

function releaseItem (state: Jobs, job: Job, item: JobItem, position: number): void {
  if (item.holder !== undefined) removeHeldItem(state, item.holder, job.id, position)
  item.holder = undefined
  job.inFlight--
  adjustInFlight(state.schedule, job.account, -1)
}

function endItem (state: Jobs, completion: Completion): void {
  const found = findGranted(state, completion)
  if (found === undefined) return
  const { job, item } = found
  releaseItem(state, job, item, completion.position)
  item.phase = ItemPhase.Ended
  item.ending = completion.ending
  item.result = completion.result
  item.partial = ''
  releaseInput(state, item)
  countEnding(job, completion.ending)
}

function requeueUnattemptedItem (state: Jobs, reference: GrantReference): void {
  const found = findGranted(state, reference)
  if (found === undefined) return
  const { partial, offset } = found.item
  requeueItem(state, { ...reference, partial, offset, attempted: false })
}

function requeueItem (state: Jobs, requeued: RequeuedItem): void {
  const found = findGranted(state, requeued)
  if (found === undefined) return
  const { job, item } = found
  const reason = requeued.reason === undefined ? '' : `: ${requeued.reason}`
  if (requeued.attempted && item.phase === ItemPhase.Started) {
    endItem(state, { ...requeued, ending: Ending.Unknown, result: `the answer was lost${reason}` })
    return
  }
  const attempts = item.attempts + (requeued.attempted ? 1 : 0)
  if (attempts >= attemptLimit) {
    endItem(state, { ...requeued, ending: Ending.Failed, result: `gave up after ${attempts} attempts${reason}` })
    return
  }
  releaseItem(state, job, item, requeued.position)
  item.attempts = attempts
  item.phase = ItemPhase.Waiting
  item.partial = requeued.partial
  item.offset = requeued.offset
  if (job.cancelled) releaseInput(state, item)
  job.waiting.requeue(item.item.priority, requeued.position)
  rescheduleJob(state.schedule, job)
}
