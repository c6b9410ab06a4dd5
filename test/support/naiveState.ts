/**
 * A naive implementation of the durable state, the reference model of the differential test: plain lists in one process,
 * to which each command is applied once and in order.
 * @module
 */
import { type Completion, Ending, type Grant, type GrantReference, type Priority, type RequeuedItem } from '../../src/process/state/commands.ts'

interface NaiveItem {
  readonly priority: Priority
  phase: 'waiting' | 'granted' | 'started' | 'ended'
  grant: number
  holder: string
  attempts: number
  ending: string
  result: string
}

interface NaiveJob {
  readonly id: string
  readonly account: string
  readonly key: string
  readonly digest: string
  readonly due: number
  readonly items: NaiveItem[]
  cancelled: boolean
  lastGrant: number
}

/** The naive implementation of the durable state. */
export class NaiveState {
  version = 0
  grants = 0
  readonly applied = new Map<string, boolean>()
  readonly jobs: NaiveJob[] = []
  readonly leases = new Map<string, { holder: string, number: number }>()

  apply (operation: string, expected: number): boolean {
    const accepted = this.applied.get(operation) ?? expected === this.version
    if (!this.applied.has(operation) && accepted) this.version++
    this.applied.set(operation, accepted)
    return accepted
  }

  submit (id: string, account: string, key: string, digest: string, due: number, priorities: readonly Priority[]): string {
    const earlier = this.jobs.find(job => job.account === account && job.key === key)
    if (earlier !== undefined) return earlier.digest === digest ? earlier.id : 'conflict'
    const items = priorities.map(priority => ({ priority, phase: 'waiting' as const, grant: 0, holder: '', attempts: 0, ending: '', result: '' }))
    this.jobs.push({ id, account, key, digest, due, items, cancelled: false, lastGrant: this.grants })
    return id
  }

  cancel (id: string): void {
    for (const job of this.jobs) if (job.id === id) job.cancelled = true
  }

  acquire (server: string, holder: string): void {
    const number = (this.leases.get(server)?.number ?? 0) + 1
    this.leases.set(server, { holder, number })
  }

  claim (server: string, count: number): string[] {
    const lease = this.leases.get(server)
    const granted: string[] = []
    if (lease === undefined || lease.holder === '') return granted
    while (granted.length < count) {
      const job = this.choose()
      const priority = job === undefined ? 0 : Math.min(...this.waitingOf(job).map(item => item.priority))
      const item = job?.items.find(each => each.phase === 'waiting' && each.priority === priority)
      if (job === undefined || item === undefined) break
      this.grants++
      Object.assign(item, { phase: 'granted', grant: this.grants, holder: lease.holder })
      job.lastGrant = this.grants
      granted.push(`${job.id}/${job.items.indexOf(item)}/${this.grants}`)
    }
    return granted
  }

  start (reference: GrantReference): boolean {
    const item = this.find(reference)
    const job = this.jobs.find(each => each.id === reference.job)
    if (item === undefined || job?.cancelled !== false) return false
    item.phase = 'started'
    return true
  }

  complete (completion: Completion): void {
    const item = this.find(completion)
    if (item === undefined) return
    Object.assign(item, { phase: 'ended', holder: '', ending: completion.ending, result: completion.result })
  }

  requeue (requeued: RequeuedItem): void {
    const item = this.find(requeued)
    if (item === undefined) return
    if (item.phase === 'started' && requeued.attempted) return this.complete({ ...requeued, ending: Ending.Unknown, result: 'the answer was lost' })
    if (requeued.attempted && item.attempts === 2) return this.complete({ ...requeued, ending: Ending.Failed, result: 'gave up after 3 attempts' })
    Object.assign(item, { phase: 'waiting', holder: '', attempts: item.attempts + Number(requeued.attempted) })
  }

  expire (holder: string): void {
    for (const item of this.jobs.flatMap(job => job.items)) {
      if (item.holder !== holder) continue
      item.holder = ''
      if (item.phase === 'granted') item.phase = 'waiting'
      else Object.assign(item, { phase: 'ended', ending: 'unknown', result: 'the entry host was lost after the item had been started' })
    }
    for (const lease of this.leases.values()) if (lease.holder === holder) lease.holder = ''
  }

  private find ({ job: id, position, grant }: GrantReference | Grant): NaiveItem | undefined {
    const item = this.jobs.find(job => job.id === id)?.items[position]
    return item?.grant === grant && (item.phase === 'granted' || item.phase === 'started') ? item : undefined
  }

  private waitingOf (job: NaiveJob): NaiveItem[] {
    return job.cancelled ? [] : job.items.filter(item => item.phase === 'waiting')
  }

  private choose (): NaiveJob | undefined {
    const inFlight = (account: string): number =>
      this.jobs.filter(job => job.account === account).flatMap(job => job.items).filter(item => item.holder !== '').length
    const rank = (job: NaiveJob): ReadonlyArray<number | string> => (this.grants + 1) % 16 === 0
      ? [job.lastGrant, this.jobs.indexOf(job)]
      : [Math.min(...this.waitingOf(job).map(item => item.priority)), Math.floor(job.due / 900_000), inFlight(job.account), job.account, this.jobs.indexOf(job)]
    const open = this.jobs.filter(job => this.waitingOf(job).length > 0).map(job => ({ job, rank: rank(job) }))
    return open.sort((left, right) => compareRanks(left.rank, right.rank))[0]?.job
  }
}

function compareRanks (left: ReadonlyArray<number | string>, right: ReadonlyArray<number | string>): number {
  for (const [index, value] of left.entries()) {
    const other = right[index] as number | string
    if (value !== other) return value < other ? -1 : 1
  }
  return 0
}
