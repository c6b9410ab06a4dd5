/**
 * Grants of items to holders and their ends, as applied from the replicated log.
 * @module
 */
import type { Configuration } from '../../version/tables.ts'
import {
  type CommandOf, type Completion, done, Ending, type Grant, type GrantReference, type Holder, type Outcome, OutcomeKind, type RequeuedItem
} from '../state/commands.ts'
import { countEnding, hold, type Jobs, unhold } from './jobRecords.ts'
import { ItemPhase, type Job, type JobItem } from './job.ts'
import { chooseJob, countInFlight, placeJob } from './jobSchedule.ts'

/** Attempts that ran before an item ends as failed. */
export const attemptLimit = 3

/**
 * Grants waiting items to the holder of a lease. A claim sent again gets the same grants; an older claim that arrives
 * late gets none, since nobody waits for its outcome any more.
 * @param state - all jobs
 * @param configuration - the version in force in the log
 * @param command - the command; the lease was checked before
 * @returns the grants, or a conflict for a claim that is not the newest
 */
export function claim (state: Jobs, configuration: Configuration, command: CommandOf<'claim'>): Outcome {
  const last = state.lastClaims.get(command.backendServer)
  if (last?.lease === command.lease && command.sequence <= last.sequence) {
    if (command.sequence < last.sequence) return { kind: OutcomeKind.Conflict, text: 'a newer claim was made under this lease' }
    return { kind: OutcomeKind.Grants, grants: describeGrants(state, last.grants) }
  }
  const routes = configuration.routes.filter(route => route.pool === command.pool).map(route => route.name)
  const references: GrantReference[] = []
  while (references.length < command.count) {
    const job = chooseJob(state.schedule, routes, state.grants + 1)
    const reference = job === undefined ? undefined : grantNext(state, job, command.holder)
    if (reference === undefined) break
    references.push(reference)
  }
  state.lastClaims.set(command.backendServer, { lease: command.lease, sequence: command.sequence, grants: references })
  return { kind: OutcomeKind.Grants, grants: describeGrants(state, references) }
}

/**
 * Takes back the grants of the last claim under a lease when its holder never received them.
 * @param state - all jobs
 * @param backendServer - address of the backend server
 * @param lease - number of the lease
 * @param received - sequence of the last claim whose outcome the holder received; undefined when it does not say
 */
export function returnUnreceived (state: Jobs, backendServer: string, lease: number, received: number | undefined): void {
  const last = state.lastClaims.get(backendServer)
  if (received === undefined || last?.lease !== lease || last.sequence <= received) return
  for (const reference of last.grants) returnUnsent(state, reference)
  state.lastClaims.set(backendServer, { ...last, grants: [] })
}

/**
 * Records items on non-idempotent routes as started, before they are sent. A command sent again is accepted again,
 * since the holder acts on each grant once.
 * @param state - all jobs
 * @param command - the command
 * @returns for each item whether it may be sent
 */
export function start (state: Jobs, command: CommandOf<'start'>): Outcome {
  const accepted: boolean[] = []
  for (const reference of command.items) {
    const found = findGranted(state, reference)
    const mayStart = found !== undefined && !found.job.cancelled
    if (mayStart) found.item.phase = ItemPhase.Started
    accepted.push(mayStart)
  }
  return { kind: OutcomeKind.Started, accepted }
}

/**
 * Ends items. The first completion under the current grant stands; any other changes nothing.
 * @param state - all jobs
 * @param command - the command
 * @returns done
 */
export function complete (state: Jobs, command: CommandOf<'complete'>): Outcome {
  for (const completion of command.completions) endItem(state, completion)
  return done
}

/**
 * Returns granted items to the queue with their progress.
 * @param state - all jobs
 * @param command - the command
 * @returns done
 */
export function requeueItems (state: Jobs, command: CommandOf<'give back'>): Outcome {
  for (const returned of command.items) returnItem(state, returned)
  return done
}

/**
 * Takes every item back from a holder that is gone. Started items of it end as unknown, since they may have run.
 * @param state - all jobs
 * @param holder - the holder
 */
export function takeBack (state: Jobs, holder: Holder): void {
  for (const reference of [...state.held.get(holder)?.values() ?? []]) {
    const found = findGranted(state, reference)
    if (found?.item.phase === ItemPhase.Started) {
      endItem(state, { ...reference, ending: Ending.Unknown, result: 'the entry host was lost after the item had been started' })
      continue
    }
    returnUnsent(state, reference)
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

function grantNext (state: Jobs, job: Job, holder: Holder): GrantReference | undefined {
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
  hold(state, holder, reference)
  placeJob(state.schedule, job)
  countInFlight(state.schedule, job.account, 1)
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

function release (state: Jobs, job: Job, item: JobItem, position: number): void {
  if (item.holder !== undefined) unhold(state, item.holder, job.id, position)
  item.holder = undefined
  job.inFlight--
  countInFlight(state.schedule, job.account, -1)
}

function endItem (state: Jobs, completion: Completion): void {
  const found = findGranted(state, completion)
  if (found === undefined) return
  const { job, item } = found
  release(state, job, item, completion.position)
  item.phase = ItemPhase.Ended
  item.ending = completion.ending
  item.result = completion.result
  item.partial = ''
  item.item = { ...item.item, input: '' }
  countEnding(job, completion.ending)
}

function returnUnsent (state: Jobs, reference: GrantReference): void {
  const found = findGranted(state, reference)
  if (found === undefined) return
  const { partial, offset } = found.item
  returnItem(state, { ...reference, partial, offset, attempted: false })
}

function returnItem (state: Jobs, returned: RequeuedItem): void {
  const found = findGranted(state, returned)
  if (found === undefined) return
  const { job, item } = found
  const reason = returned.reason === undefined ? '' : `: ${returned.reason}`
  if (returned.attempted && item.phase === ItemPhase.Started) {
    endItem(state, { ...returned, ending: Ending.Unknown, result: `the answer was lost${reason}` })
    return
  }
  const attempts = item.attempts + (returned.attempted ? 1 : 0)
  if (attempts >= attemptLimit) {
    endItem(state, { ...returned, ending: Ending.Failed, result: `gave up after ${attempts} attempts${reason}` })
    return
  }
  release(state, job, item, returned.position)
  item.attempts = attempts
  item.phase = ItemPhase.Waiting
  item.partial = returned.partial
  item.offset = returned.offset
  job.waiting.requeue(item.item.priority, returned.position)
  placeJob(state.schedule, job)
}
