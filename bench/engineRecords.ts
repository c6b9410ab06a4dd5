/**
 * Evaluates the requests that stand-in backend servers recorded: the time until batch items yielded to live requests, and
 * the share of server time without live requests.
 * @module
 */
import { request } from 'undici'
import { createHistogram, readQuantiles, record } from './load.ts'

/** Prefix of the request ids of live requests, which distinguishes them from batch items. */
export const livePrefix = 'live-'

interface EngineRun {
  readonly requestId: string
  readonly at: number
  readonly endedAt?: number
  readonly finished: boolean
}

/** Requests that ran on one backend server, by class. */
export interface EngineRecords {
  readonly live: readonly EngineRun[]
  readonly batch: readonly EngineRun[]
}

/**
 * Reads the requests that backend servers have recorded since the previous call.
 * @param addresses - addresses of the backend servers
 * @param knownCounts - number of records already read, by address; updated by the call
 * @returns the new records of each backend server that have ended
 */
export async function readRecords (addresses: readonly string[], knownCounts: Map<string, number>): Promise<EngineRecords[]> {
  const records: EngineRecords[] = []
  for (const address of addresses) {
    const response = await request(`http://${address}/stand-in/runs`)
    const all = await response.body.json() as EngineRun[]
    // Streams that have not ended can't be measured. Only the few in flight at the end of the run are left out.
    const runs = all.slice(knownCounts.get(address) ?? 0).filter(run => run.endedAt !== undefined)
    knownCounts.set(address, all.length)
    records.push({
      live: runs.filter(run => run.requestId.startsWith(livePrefix)),
      batch: runs.filter(run => !run.requestId.startsWith(livePrefix))
    })
  }
  return records
}

/**
 * Measures how long batch streams continued after a live request arrived at a backend server that ran no other live request.
 * @param records - records of each backend server
 * @returns quantiles in milliseconds, and the number of such arrivals while batch streams were in flight
 */
export function measureYield (records: readonly EngineRecords[]): { readonly arrivals: number, readonly quantiles: Record<string, number> } {
  const histogram = createHistogram()
  for (const { live, batch } of records) {
    let busyUntil = -Infinity
    for (const arrival of live) {
      const inFlight = batch.filter(run => run.at <= arrival.at && (run.endedAt ?? Infinity) > arrival.at)
      if (arrival.at >= busyUntil && inFlight.length > 0) record(histogram, measureTimeToLastEnd(inFlight, arrival.at))
      busyUntil = Math.max(busyUntil, arrival.endedAt ?? Infinity)
    }
  }
  return { arrivals: histogram.totalCount, quantiles: readQuantiles(histogram) }
}

/**
 * Measures the share of server time in which no live request ran.
 * @param records - records of each backend server
 * @param durationMs - length of the run, in milliseconds
 * @returns share from 0 to 1
 */
export function measureIdleShare (records: readonly EngineRecords[], durationMs: number): number {
  let busyMs = 0
  for (const { live } of records) {
    let busyUntil = -Infinity
    for (const run of live) {
      const end = run.endedAt ?? run.at
      busyMs += Math.max(0, end - Math.max(run.at, busyUntil))
      busyUntil = Math.max(busyUntil, end)
    }
  }
  return 1 - busyMs / (durationMs * records.length)
}

function measureTimeToLastEnd (runs: readonly EngineRun[], from: number): number {
  let last = from
  for (const run of runs) last = Math.max(last, run.endedAt ?? Infinity)
  return Math.min(last - from, 60_000)
}
