/**
 * Load of backend servers caused by other hosts, as this host knows it from the sums of the leader.
 * @module
 */
import { createLivePeak, type LivePeak } from '../../request/placement/livePeak.ts'
import { fadePace } from '../../request/placement/serverPace.ts'
import { estimateLoad } from '../../request/placement/staleLoad.ts'
import type { Clock } from '../program/clock.ts'
import type { LoadTotals, ServerLoad } from './fleetMessages.ts'
import type { ReportedWorks } from './serverWork.ts'

/** Duration of a request until the first one has ended, in milliseconds. */
const initialRequestMs = 500

/** Weight of the latest request in the moving average of durations. */
const durationSmoothingFactor = 0.1

/** Load of other hosts on one server. */
export interface RemoteLoad extends ServerLoad {
  readonly extraWork: number
  readonly tokens: number
}

/** Load of other hosts on the servers of a service, estimated for now. */
export interface RemoteLoadEstimate {
  /** Requests that other hosts have placed on the servers since the sums were made. */
  readonly unseenRequests: number
  /**
   * Returns the load that is known of a server.
   * @param id - id of the server
   * @returns its requests in the sums, without those that have probably ended
   */
  getLoad (id: string): RemoteLoad
}

/** Load caused by other hosts. */
export interface RemoteLoads {
  /** Returns the load of a server as of the last sums. */
  get (id: string): ServerLoad
  /**
   * Returns the pace of a server as of the last sums, which fades with their age.
   * @param id - id of the server
   * @returns the duration of work as a multiple of the mean of its service; 1 as long as no difference is known
   */
  getPace (id: string): number
  /**
   * Applies new sums.
   * @param totals - load of all hosts together
   * @param reported - live requests of this host in the sums, by server
   * @param findService - returns the service of a server; undefined if the server is not known
   * @param work - work of this host in the sums
   */
  apply (totals: LoadTotals, reported: ReadonlyMap<string, number>, findService: (id: string) => string | undefined, work?: ReportedWorks): void
  /**
   * Records how long a request took at its server.
   * @param durationMs - the duration, in milliseconds
   */
  recordDuration (durationMs: number): void
  /** Time since the last sums were received, in milliseconds; Infinity before the first ones. */
  readonly ageMs: number
  /** Estimates the current load of the servers of a service. */
  estimate (service: string): RemoteLoadEstimate
}

const noLoad: ServerLoad = { live: 0, batch: 0 }

/**
 * Creates loads without any sums.
 * @param clock - source of time
 * @returns the loads
 */
export function createRemoteLoads (clock: Clock): RemoteLoads {
  const loads = new Map<string, ServerLoad>()
  const paces = new Map<string, number>()
  const peaks = new Map<string, LivePeak>()
  let appliedAt = -Infinity
  let intervalMs = 0
  let meanDurationMs = initialRequestMs
  let meanSquareDuration = initialRequestMs * initialRequestMs

  function recordPeaks (findService: (id: string) => string | undefined): void {
    const liveByService = new Map<string, number>()
    for (const [id, { live }] of loads) {
      const service = findService(id)
      if (service !== undefined) liveByService.set(service, (liveByService.get(service) ?? 0) + live)
    }
    for (const [service, live] of liveByService) {
      const peak = peaks.get(service) ?? createLivePeak()
      peaks.set(service, peak)
      peak.record(live, appliedAt)
    }
  }

  return {
    get: id => loads.get(id) ?? noLoad,
    getPace: id => fadePace(paces.get(id) ?? 1, clock.now() - appliedAt),
    apply (totals, reported, findService, work = {}) {
      loads.clear()
      paces.clear()
      for (const [id, load] of Object.entries(totals.loads)) {
        const own = work[id] ?? [0, 0]
        loads.set(id, {
          live: Math.max(0, load.live - (reported.get(id) ?? 0)),
          batch: load.batch,
          ...load.extraWork === undefined ? {} : { extraWork: Math.max(0, load.extraWork - own[0]) },
          ...load.tokens === undefined ? {} : { tokens: Math.max(0, load.tokens - own[1]) }
        })
        if (load.pace !== undefined) paces.set(id, load.pace)
      }
      appliedAt = clock.now()
      intervalMs = totals.intervalMs
      recordPeaks(findService)
    },
    get ageMs () { return clock.now() - appliedAt },
    recordDuration (durationMs) {
      meanDurationMs += (durationMs - meanDurationMs) * durationSmoothingFactor
      meanSquareDuration += (durationMs * durationMs - meanSquareDuration) * durationSmoothingFactor
    },
    estimate (service) {
      const now = clock.now()
      // Mean duration of the requests that are in flight at any moment, among which short ones are rare.
      const requestMs = meanSquareDuration / Math.max(1, meanDurationMs)
      // The traffic may rise while the sums are under way, so the recent peak counts and not the latest sum. The reports in the sums
      // are half of an interval old on average.
      const { remainingShare, unseenRequests } = estimateLoad({ remoteLive: peaks.get(service)?.find(now) ?? 0, ageMs: now - appliedAt + intervalMs / 2, requestMs })
      return {
        unseenRequests,
        getLoad (id) {
          const { live, batch, extraWork = 0, tokens = 0 } = loads.get(id) ?? noLoad
          return { live: live * remainingShare, batch, extraWork: extraWork * remainingShare, tokens: tokens * remainingShare }
        }
      }
    }
  }
}
