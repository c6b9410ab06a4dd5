/**
 * The tasks that send the records of streams from a gateway to the hosts that keep them, one for each, and the look-up of a record.
 * @module
 */
import type { Result } from 'neverthrow'
import type { Clock } from '../process/program/clock.ts'
import { type Condition, createCondition } from '../process/program/condition.ts'
import { type Failure, Step } from '../process/program/failure.ts'
import { Counter, type Metrics } from '../process/program/metrics.ts'
import type { Random } from '../process/program/random.ts'
import { noSoftwareVersion, type OriginLookup, OriginLookupKind, type StreamRecord } from '../process/fleet/streamRecords.ts'
import { type InternalClients, TrafficClass } from './internalClient.ts'
import type { FoundStreams, RecordedStreams } from './internalRouter.ts'

/** Timeout for sending records, in milliseconds. */
const recordTimeoutMs = 500

/** Timeout for a look-up, in milliseconds: a new connection and a call between regions take 80 ms. The caller waits meanwhile. */
const lookupTimeoutMs = 250

/** Maximum delay after records could not be sent, in milliseconds; the delay is random. */
const maxRetryDelayMs = 200

/** Interval at which a task without records asks whether its host has restarted, in milliseconds. */
const idleCheckMs = 1_000

/** Maximum number of records that wait for one host; also bounds what is sent again to a host that has restarted. */
const maxQueuedRecords = 1_000

/** Age from which a record is not sent any more, in milliseconds: callers resume a broken stream at once. */
const maxQueuedMs = 2_000

/** Calls to the hosts that keep records. */
export interface StreamKeeperClient {
  /**
   * Sends records.
   * @param address - internal address of the host
   * @param records - the records; none to learn only whether the host has restarted
   * @returns the answer of the host, or why it is not known whether it has the records
   */
  record (address: string, records: readonly StreamRecord[]): Promise<Result<RecordedStreams, Failure>>
  /**
   * Looks up the origin of a stream.
   * @param address - internal address of the host
   * @param id - id of the caller's attempt that received the first event
   */
  find (address: string, id: string): Promise<Result<OriginLookup, Failure>>
}

/**
 * Creates the client.
 * @param clients - clients for calls to other hosts
 * @returns the client
 */
export function createStreamKeeperClient (clients: InternalClients): StreamKeeperClient {
  return {
    record: async (address, records) => await clients.callReply<RecordedStreams>(address, TrafficClass.Live, Step.RecordStreams, recordTimeoutMs, (client, signal) =>
      client.streams.record.mutate({ records: [...records] }, { signal })),
    find: async (address, id) => await clients.callReply<FoundStreams>(address, TrafficClass.Live, Step.FindStreams, lookupTimeoutMs, (client, signal) =>
      client.streams.find.mutate({ ids: [id] }, { signal })).map(found => readLookup(found, id))
  }
}

function readLookup ({ records, conflicting }: FoundStreams, id: string): OriginLookup {
  if (conflicting.includes(id)) return { kind: OriginLookupKind.Conflicting }
  const record = records.find(found => found.id === id)
  if (record === undefined) return { kind: OriginLookupKind.Unknown }
  // A host of an earlier version of the program that has only this record does not take it for a conflict.
  if (record.softwareVersion === noSoftwareVersion) return { kind: OriginLookupKind.Conflicting }
  return { kind: OriginLookupKind.Known, origin: { service: record.service, softwareVersion: record.softwareVersion } }
}

/** Records that wait to be sent to one host. */
export interface StreamRecordQueue {
  /** Notified when a record is added. */
  readonly added: Condition
  /**
   * Adds a record. When the queue is full, the oldest one is dropped, of those that make an origin conflicting last.
   * @param record - the record
   */
  add (record: StreamRecord): void
  /** Removes all records, and returns those that are recent enough to be sent, and those that make an origin conflicting. */
  take (): StreamRecord[]
}

/**
 * Creates an empty queue.
 * @param clock - source of time
 * @param metrics - counts the records that are dropped
 * @returns the queue
 */
export function createStreamRecordQueue (clock: Clock, metrics: Metrics): StreamRecordQueue {
  const added = createCondition(clock)
  let queued: Array<{ readonly record: StreamRecord, readonly addedAt: number }> = []
  return {
    added,
    add (record) {
      queued.push({ record, addedAt: clock.now() })
      if (queued.length > maxQueuedRecords) {
        const oldest = queued.findIndex(({ record }) => record.softwareVersion !== noSoftwareVersion)
        queued.splice(Math.max(0, oldest), 1)
        metrics.count(Counter.StreamRecords, 'dropped')
      }
      added.notify()
    },
    take () {
      const oldestAt = clock.now() - maxQueuedMs
      const recent: StreamRecord[] = []
      for (const { record, addedAt } of queued) {
        if (addedAt >= oldestAt || record.softwareVersion === noSoftwareVersion) recent.push(record)
        else metrics.count(Counter.StreamRecords, 'dropped')
      }
      queued = []
      return recent
    }
  }
}

/** Dependencies of the task of one host that keeps records. */
export interface StreamKeeperLink {
  /** Internal address of the host. */
  readonly address: string
  readonly queue: StreamRecordQueue
  /** Lists the records of this gateway that the host should have, the oldest first. */
  readonly listRecent: () => readonly StreamRecord[]
  readonly client: StreamKeeperClient
  readonly clock: Clock
  readonly random: Random
  readonly metrics: Metrics
}

/**
 * Sends the queued records of one host until the signal aborts, in one call at a time. Records that arrive during a call are sent
 * in the next one. After a failed call, and when the host has restarted, all recent records are sent again.
 * @param link - dependencies of the task
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function runStreamRecords ({ address, queue, listRecent, client, clock, random, metrics }: StreamKeeperLink, signal: AbortSignal): Promise<void> {
  let answer: RecordedStreams | undefined
  // The first call has no records; it opens the connection before the first look-up needs it.
  let records: readonly StreamRecord[] = []
  while (!signal.aborted) {
    const sent = await client.record(address, records)
    if (records.length > 0) metrics.count(Counter.StreamRecords, sent.isOk() ? 'sent' : 'failed', records.length)
    const isRestarted = sent.isOk() && answer !== undefined && answer.start !== sent.value.start
    if (sent.isOk()) answer = sent.value
    else await clock.sleep(random.next() * maxRetryDelayMs, signal)
    if (signal.aborted) return
    records = sent.isErr() || isRestarted ? refill(queue, listRecent()) : queue.take()
    if (records.length > 0) continue
    await queue.added.wait(idleCheckMs, signal)
    records = queue.take()
  }
}

// The queued records are among the recent ones, unless they are outdated.
function refill (queue: StreamRecordQueue, recent: readonly StreamRecord[]): StreamRecord[] {
  queue.take()
  return recent.slice(-maxQueuedRecords)
}
