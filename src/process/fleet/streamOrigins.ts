/**
 * The origins of streams as a gateway knows them: its own records, and those of the hosts that keep records.
 * @module
 */
import { err, type Result } from 'neverthrow'
import { createStreamRecordQueue, runStreamRecords, type StreamKeeperClient, type StreamRecordQueue } from '../../connection/streamKeeperLink.ts'
import type { Clock } from '../program/clock.ts'
import { InvariantError } from '../program/assert.ts'
import { type Failure, Step, toFailure } from '../program/failure.ts'
import { Counter } from '../program/metrics.ts'
import type { ProcessServices } from '../program/processServices.ts'
import { createTaskSet } from '../program/taskSet.ts'
import { ErrorPlace, reportUnexpectedError, runRestarted } from '../program/unexpectedErrors.ts'
import type { FleetView } from './fleetView.ts'
import { listLookupKeepers, listRecordKeepers } from './streamKeepers.ts'
import { createStreamRecordStore, maxStreamIdLength, noSoftwareVersion, type OriginLookup, OriginLookupKind, type StreamOrigin, type StreamRecord } from './streamRecords.ts'

/** Age up to which records are sent again when the hosts that keep records change, restart or fail, in milliseconds. */
const resendAgeMs = 10_000

/** Interval at which the hosts that keep records are compared without an update, in milliseconds. */
const keeperCheckMs = 1_000

/**
 * Time for which the other hosts are waited for after one has named an origin, in milliseconds: hosts of the same region answer within a few,
 * and one of them may know that the origin is conflicting. The caller waits meanwhile.
 */
const contradictionWaitMs = 15

/**
 * Delay of a second look-up after all hosts had no record, in milliseconds: a caller that reconnects at once may overtake the record, which
 * waits for one call at most.
 */
const secondLookupMs = 100

/** Why the origin of a stream was not found. */
export const MissingOriginReason = {
  /** No host that was asked has a record. */
  Unknown: 'unknown',
  /** No host that was asked has a record, and some did not answer. */
  TimedOut: 'timeout',
  Conflicting: 'conflicting',
  /** This gateway has just started, and may not know yet all hosts that keep records. */
  UnknownKeepers: 'keepers unknown'
} as const
export type MissingOriginReason = typeof MissingOriginReason[keyof typeof MissingOriginReason]

/** Result of a search; the reason is undefined if the origin was found. */
export interface OriginSearch {
  readonly origin: StreamOrigin | undefined
  readonly reason: MissingOriginReason | undefined
}

/** When the caller no longer waits for a search. */
export interface SearchLimit {
  /** Monotonic time by which the search ends, in milliseconds. */
  readonly deadlineAt: number
  /** Ends the search, for instance when the caller has closed its connection. */
  readonly signal?: AbortSignal
}

/** The origins of streams. */
export interface StreamOrigins {
  /**
   * Records the origin of a stream, and queues the record for the hosts that keep records. An origin of unknown version is not recorded.
   * @param id - id of the caller's attempt that receives the first event
   * @param origin - the origin
   */
  record (id: string, origin: StreamOrigin): void
  /**
   * Makes the recorded origin of a stream unusable, here and at the hosts that keep records.
   * @param id - id of the caller's attempt that received the first event
   */
  revoke (id: string): void
  /**
   * Searches for the origin of a stream in the records of this gateway and at the hosts that keep records.
   * @param id - id of the caller's attempt that received the first event
   * @param limit - ends the search early; by default it ends by the timeouts of the calls
   * @returns the origin, or why it was not found; `TimedOut` after an early end without an answer
   */
  find (id: string, limit?: SearchLimit): Promise<OriginSearch>
}

/** Dependencies of the origins. */
export interface StreamOriginInputs extends Pick<ProcessServices, 'clock' | 'random' | 'logger' | 'metrics'> {
  readonly view: Pick<FleetView, 'streamKeepers' | 'isPopulated' | 'changed'>
  readonly client: StreamKeeperClient
}

/** The origins, with the task that keeps the connections to the hosts that keep records. */
export interface StreamOriginService extends StreamOrigins {
  /**
   * Runs one task for each host that keeps records, until the signal aborts.
   * @param signal - ends the tasks
   * @returns a promise that resolves when all tasks have ended
   */
  run (signal: AbortSignal): Promise<void>
}

/**
 * Creates the origins without any record.
 * @param inputs - dependencies
 * @returns the origins
 */
export function createStreamOrigins ({ view, client, clock, random, logger, metrics }: StreamOriginInputs): StreamOriginService {
  const own = createStreamRecordStore(clock)
  const queues = new Map<string, StreamRecordQueue>()
  let keepers: readonly string[] = []

  function send (record: StreamRecord, isNeeded: (keeper: string) => boolean = () => true): void {
    for (const keeper of listKeepers(record, keepers)) {
      if (isNeeded(keeper)) queues.get(keeper)?.add(record)
    }
  }

  // Recent records move with the keepers: the previous ones may have left, or are not asked any more.
  function applyKeepers (current: readonly string[]): void {
    const previous = keepers
    keepers = current
    for (const keeper of queues.keys()) {
      if (!current.includes(keeper)) queues.delete(keeper)
    }
    for (const keeper of current) {
      if (!queues.has(keeper)) queues.set(keeper, createStreamRecordQueue(clock, metrics))
    }
    for (const record of own.listRecent(resendAgeMs)) {
      const sentTo = listKeepers(record, previous)
      send(record, keeper => !sentTo.includes(keeper))
    }
  }

  function listRecent (keeper: string): StreamRecord[] {
    return own.listRecent(resendAgeMs).filter(record => listKeepers(record, keepers).includes(keeper))
  }

  // An unexpected error counts as no answer, so that the caller gets a refusal.
  async function ask (keeper: string, id: string): Promise<Result<OriginLookup, Failure>> {
    try {
      return await client.find(keeper, id)
    } catch (error) {
      if (error instanceof InvariantError) throw error
      reportUnexpectedError({ logger, metrics }, ErrorPlace.CallerRequest, error)
      return err(toFailure(error, { step: Step.FindStreams, peer: keeper }))
    }
  }

  // Looks up once more when no host has a record yet, unless the caller's time would be over.
  async function search (id: string, limit: SearchLimit): Promise<OriginSearch> {
    const found = await lookUp(id, limit)
    if (found.reason !== MissingOriginReason.Unknown || keepers.length === 0) return found
    if (clock.now() + secondLookupMs >= limit.deadlineAt) return found
    await clock.sleep(secondLookupMs, limit.signal)
    return limit.signal?.aborted === true ? found : await lookUp(id, limit)
  }

  async function lookUp (id: string, limit: SearchLimit): Promise<OriginSearch> {
    const known = own.find(id)
    if (known.kind === OriginLookupKind.Conflicting) return toSearch(known)
    // Hosts that are not known yet may be among the first ones, so the rank of the known ones says little.
    const isComplete = view.isPopulated
    const asked = isComplete ? listLookupKeepers(id, keepers) : keepers
    const lookups = asked.map(async keeper => await ask(keeper, id))
    const { merged, isAnswered } = await waitForAnswers(known, lookups, limit, clock)
    if (merged.kind !== OriginLookupKind.Unknown) {
      if (merged.kind === OriginLookupKind.Known) metrics.count(Counter.StreamLookups, known.kind === OriginLookupKind.Known ? 'own' : 'found')
      return toSearch(merged)
    }
    if (!isComplete) return { origin: undefined, reason: MissingOriginReason.UnknownKeepers }
    return { origin: undefined, reason: isAnswered ? MissingOriginReason.Unknown : MissingOriginReason.TimedOut }
  }

  return {
    record (id, { service, softwareVersion }) {
      if (id === '' || id.length > maxStreamIdLength || softwareVersion === undefined) return
      const record = { id, service, softwareVersion }
      own.record(record)
      const isConflicting = own.find(id).kind === OriginLookupKind.Conflicting
      send(isConflicting ? { ...record, softwareVersion: noSoftwareVersion } : record)
    },
    revoke (id) {
      const known = own.find(id)
      if (known.kind !== OriginLookupKind.Known) return
      const record = { id, service: known.origin.service, softwareVersion: noSoftwareVersion }
      own.record(record)
      send(record)
    },
    async find (id, limit = { deadlineAt: Infinity }) {
      const found = id.length > maxStreamIdLength ? { origin: undefined, reason: MissingOriginReason.Unknown } : await search(id, limit)
      if (found.reason !== undefined) metrics.count(Counter.StreamLookups, found.reason)
      return found
    },
    async run (signal) {
      const tasks = createTaskSet(signal)
      while (!signal.aborted) {
        if (view.streamKeepers.join() !== keepers.join()) applyKeepers(view.streamKeepers)
        tasks.abortAllExcept(new Set(keepers))
        for (const [address, queue] of queues) {
          const link = { address, queue, listRecent: () => listRecent(address), client, clock, random, metrics }
          tasks.ensure(address, async taskSignal => await runRestarted({ clock, logger, metrics }, async restarted => await runStreamRecords(link, restarted), taskSignal))
        }
        await view.changed.wait(keeperCheckMs, signal)
      }
      await tasks.ended()
    }
  }
}

function toSearch (lookup: OriginLookup): OriginSearch {
  switch (lookup.kind) {
    case OriginLookupKind.Known: return { origin: lookup.origin, reason: undefined }
    case OriginLookupKind.Conflicting: return { origin: undefined, reason: MissingOriginReason.Conflicting }
    case OriginLookupKind.Unknown: return { origin: undefined, reason: MissingOriginReason.Unknown }
  }
}

// A conflicting record is sent to all hosts that are asked, so that none of them names an origin.
function listKeepers ({ id, softwareVersion }: StreamRecord, keepers: readonly string[]): string[] {
  return softwareVersion === noSoftwareVersion ? listLookupKeepers(id, keepers) : listRecordKeepers(id, keepers)
}

// Two answers with different origins are as conflicting as two such records at one host.
function mergeLookups (left: OriginLookup, right: OriginLookup): OriginLookup {
  if (left.kind === OriginLookupKind.Unknown) return right
  if (right.kind === OriginLookupKind.Unknown || left.kind === OriginLookupKind.Conflicting) return left
  if (right.kind === OriginLookupKind.Conflicting) return right
  const isSame = left.origin.service === right.origin.service && left.origin.softwareVersion === right.origin.softwareVersion
  return isSame ? left : { kind: OriginLookupKind.Conflicting }
}

/** What this gateway and the hosts that were asked know together. */
interface MergedAnswers {
  readonly merged: OriginLookup
  /** Whether each host has answered. */
  readonly isAnswered: boolean
}

// Waits until all hosts have answered or failed, the origin is conflicting, or the limit is reached. Once an origin is known, here or
// at a host, the others are waited for briefly: a caller may have used the id for another stream at another gateway.
async function waitForAnswers (own: OriginLookup, lookups: ReadonlyArray<Promise<Result<OriginLookup, Failure>>>, { deadlineAt, signal }: SearchLimit, clock: Clock): Promise<MergedAnswers> {
  return await new Promise((resolve, reject) => {
    let pending = lookups.length
    let answered = 0
    let merged = own
    let isWaitShort = false
    const cancellations: Array<() => void> = []
    const end = (): void => {
      for (const cancel of cancellations) cancel()
      signal?.removeEventListener('abort', end)
      resolve({ merged, isAnswered: answered === lookups.length })
    }
    if (pending === 0 || signal?.aborted === true) return end()
    signal?.addEventListener('abort', end, { once: true })
    cancellations.push(clock.schedule(Math.max(0, deadlineAt - clock.now()), end))
    const shortenWait = (): void => {
      if (isWaitShort || merged.kind !== OriginLookupKind.Known) return
      isWaitShort = true
      cancellations.push(clock.schedule(contradictionWaitMs, end))
    }
    shortenWait()
    for (const lookup of lookups) {
      lookup.then(result => {
        pending--
        if (result.isOk()) {
          answered++
          merged = mergeLookups(merged, result.value)
        }
        if (pending === 0 || merged.kind === OriginLookupKind.Conflicting) end()
        else shortenWait()
      }, reject)
    }
  })
}
