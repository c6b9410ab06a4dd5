/**
 * The task that reports to one peer entry host which leases this host holds, and on which backend servers under the peer's
 * leases it runs live requests. A start is sent at once, so that the holder can yield; ends are batched.
 * @module
 */
import type { DispatchUpdate } from './dispatchUpdate.ts'
import type { Clock } from '../process/program/clock.ts'
import type { Holder } from '../process/state/commands.ts'
import { createCondition, waitForEither } from '../process/program/condition.ts'
import { Step } from '../process/program/failure.ts'
import type { LeaseDirectory } from '../process/routing/leaseDirectory.ts'
import type { LiveWork } from '../process/routing/liveWork.ts'
import { Counter, type Metrics } from '../process/program/metrics.ts'
import { type InternalClients, TrafficClass } from './internalClient.ts'

/** Maximum interval between two updates, in milliseconds. A receiver drops state that is three times as old. */
const maxUpdateIntervalMs = 1_000

/** Interval between two checks for ended requests, in milliseconds. */
const endCheckIntervalMs = 10

/** Timeout for one update, in milliseconds. */
const updateTimeoutMs = 1_000

/** Maximum number of updates in flight to one peer. An update between regions takes 40 ms; a later start must not wait for it. */
const maxInFlight = 8

/** Dependencies and settings of the task for one peer. */
export interface DispatchPeer {
  /** Internal address of the peer. */
  readonly address: string
  /** The peer as a holder of leases. */
  readonly peer: Holder
  /** This host as a holder of leases. */
  readonly holder: Holder
  readonly leases: LeaseDirectory
  readonly liveWork: LiveWork
  readonly clients: InternalClients
  readonly clock: Clock
  readonly metrics: Metrics
  readonly signal: AbortSignal
}

/**
 * Sends updates to the peer until the signal aborts.
 * @param task - dependencies and settings of the task
 * @returns a promise that resolves when the task has ended
 */
export async function runDispatchPeer (task: DispatchPeer): Promise<void> {
  const { address, clients, clock, metrics, signal } = task
  const updateSettled = createCondition()
  let inFlight = 0
  let sequence = clock.wallTime()
  let lastSentKey = ''
  let lastSentAt = -Infinity
  while (!signal.aborted) {
    const content = createContent(task)
    const key = JSON.stringify(content)
    if (key === lastSentKey && clock.now() - lastSentAt < maxUpdateIntervalMs) {
      const waitMs = content.live.length > 0 ? endCheckIntervalMs : lastSentAt + maxUpdateIntervalMs - clock.now()
      await waitForEither(task.liveWork.started, task.leases.changed, waitMs, signal)
      continue
    }
    if (inFlight >= maxInFlight) {
      await updateSettled.wait(maxUpdateIntervalMs, signal)
      continue
    }
    lastSentKey = key
    lastSentAt = clock.now()
    sequence++
    inFlight++
    metrics.count(Counter.DispatchUpdates, 'sent')
    const update: DispatchUpdate = { ...content, sequence }
    clients.call(address, TrafficClass.Control, Step.Share, updateTimeoutMs, (client, abort) => client.entry.dispatch.mutate(update, { signal: abort })).then(result => {
      inFlight--
      if (result.isErr()) lastSentKey = ''
      updateSettled.notify()
    }, () => {})
  }
}

function createContent (task: DispatchPeer): Omit<DispatchUpdate, 'sequence'> {
  const live = task.liveWork.listOwn().filter(address => task.leases.find(address) === task.peer)
  return { from: task.holder, leases: task.leases.listOwn(), live }
}
