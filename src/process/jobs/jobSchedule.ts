/**
 * Scheduler that chooses which job is granted an item next: by priority, then due time, then the account with the
 * fewest items in flight. Every `starvationIntervalGrants` grants the job that has waited longest is selected first. The
 * time complexity of a choice is logarithmic in the number of open jobs.
 * @module
 */
import { createHeap, type Heap } from '../program/heap.ts'
import type { Job } from './job.ts'

/** Interval, in grants, at which the job that has waited longest is selected first, so that no job starves. */
export const starvationIntervalGrants = 16

/**
 * Due times are rounded down to this step, in milliseconds, and jobs within one step count as due at the same time.
 * Exact due times are rarely equal, so without rounding the number of items in flight would hardly ever affect the choice.
 */
export const dueStepMs = 15 * 60_000

/** Items in flight of one account, and the queues with its open jobs. */
interface AccountLoad {
  readonly account: string
  inFlight: number
  readonly queues: Set<AccountQueue>
}

/** Open jobs of one account in one group, in the order in which they were sealed. */
interface AccountQueue {
  readonly load: AccountLoad
  readonly group: Group
  readonly jobs: Heap<Job>
}

/** Open jobs of one route that have the same priority and due step. */
interface Group {
  readonly priority: number
  readonly dueStep: number
  readonly queues: Heap<AccountQueue>
  readonly byAccount: Map<string, AccountQueue>
}

/** Open jobs of one route. */
interface RouteQueue {
  readonly groups: Heap<Group>
  readonly byKey: Map<string, Group>
  /** Ordered by the last grant; the job that has waited longest is first. */
  readonly byLastGrant: Heap<Job>
}

/** Open jobs in the order in which they are granted items. Derived from the job records. */
export interface Schedule {
  readonly loads: Map<string, AccountLoad>
  readonly routes: Map<string, RouteQueue>
  readonly queueByJob: Map<Job, AccountQueue>
}

/**
 * Creates a schedule without jobs.
 * @returns the schedule
 */
export function createSchedule (): Schedule {
  return { loads: new Map(), routes: new Map(), queueByJob: new Map() }
}

/**
 * Updates the position of a job after its waiting items or its last grant changed. Jobs without waiting items and
 * cancelled jobs are removed from the schedule.
 * @param schedule - the schedule
 * @param job - the job
 */
export function rescheduleJob (schedule: Schedule, job: Job): void {
  const priority = job.cancelled ? undefined : job.waiting.firstPriority()
  const current = schedule.queueByJob.get(job)
  if (current !== undefined && current.group.priority !== priority) removeJob(schedule, job, current)
  if (priority === undefined) return
  const route = getRouteQueue(schedule, job.route)
  route.byLastGrant.put(job)
  if (schedule.queueByJob.has(job)) return
  const queue = getAccountQueue(schedule, getGroup(route, priority, Math.floor(job.due / dueStepMs)), job.account)
  queue.jobs.put(job)
  schedule.queueByJob.set(job, queue)
}

/**
 * Adjusts the number of items in flight of an account and reorders its queues.
 * @param schedule - the schedule
 * @param account - the account
 * @param change - the difference; negative when items have ended or were requeued
 */
export function adjustInFlight (schedule: Schedule, account: string, change: number): void {
  const load = getAccountLoad(schedule, account)
  load.inFlight += change
  for (const queue of load.queues) queue.group.queues.put(queue)
  if (load.inFlight === 0 && load.queues.size === 0) schedule.loads.delete(account)
}

/**
 * Chooses the job that is granted an item next.
 * @param schedule - the schedule
 * @param routes - names of the routes whose jobs are eligible
 * @param grant - number of the next grant
 * @returns the job, or undefined if no item is waiting
 */
export function chooseJob (schedule: Schedule, routes: readonly string[], grant: number): Job | undefined {
  const isLongestWaitFirst = grant % starvationIntervalGrants === 0
  let best: Job | undefined
  for (const name of routes) {
    const route = schedule.routes.get(name)
    const job = isLongestWaitFirst ? route?.byLastGrant.first() : route?.groups.first()?.queues.first()?.jobs.first()
    if (job === undefined) continue
    if (best === undefined || (isLongestWaitFirst ? hasWaitedLonger(job, best) : isJobBefore(schedule, job, best))) best = job
  }
  return best
}

function isJobBefore (schedule: Schedule, left: Job, right: Job): boolean {
  const leftQueue = schedule.queueByJob.get(left)
  const rightQueue = schedule.queueByJob.get(right)
  if (leftQueue === undefined || rightQueue === undefined) return leftQueue !== undefined
  if (leftQueue.group.priority !== rightQueue.group.priority || leftQueue.group.dueStep !== rightQueue.group.dueStep) return isGroupBefore(leftQueue.group, rightQueue.group)
  if (leftQueue.load !== rightQueue.load) return isQueueBefore(leftQueue, rightQueue)
  return left.number < right.number
}

function hasWaitedLonger (left: Job, right: Job): boolean {
  if (left.lastGrant !== right.lastGrant) return left.lastGrant < right.lastGrant
  return left.number < right.number
}

function isGroupBefore (left: Group, right: Group): boolean {
  if (left.priority !== right.priority) return left.priority < right.priority
  return left.dueStep < right.dueStep
}

function isQueueBefore (left: AccountQueue, right: AccountQueue): boolean {
  if (left.load.inFlight !== right.load.inFlight) return left.load.inFlight < right.load.inFlight
  return left.load.account < right.load.account
}

function removeJob (schedule: Schedule, job: Job, queue: AccountQueue): void {
  const { group, load } = queue
  const route = getRouteQueue(schedule, job.route)
  schedule.queueByJob.delete(job)
  route.byLastGrant.remove(job)
  queue.jobs.remove(job)
  if (queue.jobs.size > 0) return
  group.queues.remove(queue)
  group.byAccount.delete(load.account)
  load.queues.delete(queue)
  if (load.inFlight === 0 && load.queues.size === 0) schedule.loads.delete(load.account)
  if (group.queues.size > 0) return
  route.groups.remove(group)
  route.byKey.delete(createGroupKey(group.priority, group.dueStep))
}

function getAccountLoad (schedule: Schedule, account: string): AccountLoad {
  const existing = schedule.loads.get(account)
  if (existing !== undefined) return existing
  const load: AccountLoad = { account, inFlight: 0, queues: new Set() }
  schedule.loads.set(account, load)
  return load
}

function getRouteQueue (schedule: Schedule, name: string): RouteQueue {
  const existing = schedule.routes.get(name)
  if (existing !== undefined) return existing
  const route: RouteQueue = { groups: createHeap(isGroupBefore), byKey: new Map(), byLastGrant: createHeap(hasWaitedLonger) }
  schedule.routes.set(name, route)
  return route
}

function getGroup (route: RouteQueue, priority: number, dueStep: number): Group {
  const key = createGroupKey(priority, dueStep)
  const existing = route.byKey.get(key)
  if (existing !== undefined) return existing
  const group: Group = { priority, dueStep, queues: createHeap(isQueueBefore), byAccount: new Map() }
  route.byKey.set(key, group)
  route.groups.put(group)
  return group
}

function getAccountQueue (schedule: Schedule, group: Group, account: string): AccountQueue {
  const existing = group.byAccount.get(account)
  if (existing !== undefined) return existing
  const load = getAccountLoad(schedule, account)
  const queue: AccountQueue = { load, group, jobs: createHeap((left, right) => left.number < right.number) }
  group.byAccount.set(account, queue)
  group.queues.put(queue)
  load.queues.add(queue)
  return queue
}

function createGroupKey (priority: number, dueStep: number): string {
  return `${priority}/${dueStep}`
}
