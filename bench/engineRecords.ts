/**
 * What the stand-in backend servers recorded: when batch had yielded, and how much of the server time live work left.
 * @module
 */
import { request } from 'undici'
import { createHistogram, readQuantiles, record } from './load.ts'

/** Prefix of the ids of live requests. */
export const livePrefix = 'live-'

interface EngineRun {
  readonly requestId: string
  readonly at: number
  readonly endedAt?: number
  readonly finished: boolean
}

/** Runs on one backend server, by class. */
export interface EngineRecords {
  readonly live: readonly EngineRun[]
  readonly batch: readonly EngineRun[]
}

/**
 * Reads the records of all backend servers.
 * @param addresses - their addresses
 * @param known - number of records of each one that belong to earlier runs
 * @returns the records of each one
 */
export async function readRecords (addresses: readonly string[], known: Map<string, number>): Promise<EngineRecords[]> {
  const records: EngineRecords[] = []
  for (const address of addresses) {
    const answer = await request(`http://${address}/stand-in/runs`)
    const all = await answer.body.json() as EngineRun[]
    // A stream that has no end yet can't be measured; it belongs to the last instant of the run.
    const runs = all.slice(known.get(address) ?? 0).filter(run => run.endedAt !== undefined)
    known.set(address, all.length)
    records.push({
      live: runs.filter(run => run.requestId.startsWith(livePrefix)),
      batch: runs.filter(run => !run.requestId.startsWith(livePrefix))
    })
  }
  return records
}

/**
 * Measures how long batch streams went on after a live request had arrived at an idle backend server.
 * @param records - the records of each backend server
 * @returns quantiles in milliseconds, and the number of arrivals that met batch streams
 */
export function measureYield (records: readonly EngineRecords[]): { readonly arrivals: number, readonly quantiles: Record<string, number> } {
  const histogram = createHistogram()
  for (const { live, batch } of records) {
    let busyUntil = -Infinity
    for (const arrival of live) {
      const met = batch.filter(run => run.at <= arrival.at && (run.endedAt ?? Infinity) > arrival.at)
      if (arrival.at >= busyUntil && met.length > 0) record(histogram, lastEnd(met, arrival.at))
      busyUntil = Math.max(busyUntil, arrival.endedAt ?? Infinity)
    }
  }
  return { arrivals: histogram.totalCount, quantiles: readQuantiles(histogram) }
}

/**
 * Measures the share of server time without a live request.
 * @param records - the records of each backend server
 * @param durationMs - length of the run
 * @returns from 0 to 1
 */
export function measureIdleShare (records: readonly EngineRecords[], durationMs: number): number {
  let busyMs = 0
  for (const { live } of records) {
    let until = -Infinity
    for (const run of live) {
      const end = run.endedAt ?? run.at
      busyMs += Math.max(0, end - Math.max(run.at, until))
      until = Math.max(until, end)
    }
  }
  return 1 - busyMs / (durationMs * records.length)
}

function lastEnd (runs: readonly EngineRun[], from: number): number {
  let last = from
  for (const run of runs) last = Math.max(last, run.endedAt ?? Infinity)
  return Math.min(last - from, 60_000)
}
