/**
 * Plans the items of one service at the leader: collects what is known of its servers, live requests and items, and applies the rules of
 * `src/request/placement/` to it. The recent course of live requests is the only state; a new leader collects it anew.
 * @module
 */
import { type BatchPlan, type ItemUrgency, orderByUrgency, type PlannedServer, type Resumption } from '../../request/placement/batchPlan.ts'
import type { OccupiedServer } from '../../request/placement/itemInterruptions.ts'
import { createItemOverload, type ItemOverload } from '../../request/placement/itemOverload.ts'
import { planItems } from '../../request/placement/itemPlan.ts'
import { createLiveWaves, type LiveCourse, type LiveWaves } from '../../request/placement/liveWaves.ts'
import { followLive, planLive } from '../../request/placement/plannedLive.ts'
import type { Clock } from '../program/clock.ts'
import type { BackendServerRecord } from './backendServerRegistry.ts'
import type { BatchRoutes } from './batchRoutes.ts'
import type { FleetLeader } from './fleetLeader.ts'
import type { ItemDurationEstimator } from './itemDurationEstimator.ts'
import { countSavedEvents, type OpenItem } from './openItems.ts'
import type { ServerBackoffs } from './serverBackoffs.ts'

/** Longest time for which the events of a run are not saved yet, in milliseconds: the interval of reports and their way through the log. */
const maxUnsavedMs = 2_000

/** Remaining run time of an item that has more events than usual, as a share of the usual run time. */
const longItemShare = 0.25

/** Dependencies of the planner. */
export interface ServicePlannerInputs {
  readonly fleet: Pick<FleetLeader, 'getLoad' | 'isSuspect' | 'permits' | 'reportIntervalMs' | 'requestMs'>
  readonly routes: Pick<BatchRoutes, 'find' | 'findLiveObjectiveMs'>
  readonly backoffs: Pick<ServerBackoffs, 'isBackingOff'>
  readonly durationEstimator: ItemDurationEstimator
  readonly clock: Clock
}

/** What is known of a service at the time of a plan. */
export interface ServiceSituation {
  readonly service: string
  /** The ready servers, with room for live requests that arrive before the next plan has an effect. */
  readonly servers: readonly PlannedServer[]
  /** The ready servers, with the live requests and items in flight. */
  readonly occupied: readonly OccupiedServer[]
  readonly course: LiveCourse
}

/** Waiting items of a service. */
export interface WaitingItems {
  /** The items, the most urgent first. */
  readonly items: readonly ItemUrgency[]
  /** Those that may resume from their saved events, by key. */
  readonly resumptions: ReadonlyMap<string, Resumption>
}

/** Plans the items of services. */
export interface ServicePlanner {
  /**
   * Describes the due times and remaining run times of items.
   * @param entries - the items
   * @returns their urgency, in the same order
   */
  describeUrgency (entries: readonly OpenItem[]): ItemUrgency[]
  /**
   * Collects what is known of a service.
   * @param service - name of the service
   * @param servers - its ready servers
   * @param running - the items in flight, by server
   * @returns the situation
   */
  describe (service: string, servers: readonly BackendServerRecord[], running: ReadonlyMap<string, readonly OpenItem[]>): ServiceSituation
  /**
   * Plans the items of a service.
   * @param situation - what is known of the service
   * @param waiting - its waiting items; undefined if none may be started
   * @returns the items to start and to interrupt
   */
  plan (situation: ServiceSituation, waiting: WaitingItems | undefined): BatchPlan
  /** Forgets the course of live requests and overloads. */
  clear (): void
}

/**
 * Creates a planner that knows nothing of earlier live requests.
 * @param inputs - dependencies of the planner
 * @returns the planner
 */
export function createServicePlanner (inputs: ServicePlannerInputs): ServicePlanner {
  const { fleet, routes, backoffs, durationEstimator, clock } = inputs
  const waves = new Map<string, LiveWaves>()
  const overloads = new Map<string, ItemOverload>()

  // Nothing can be foreseen before the run time of items is known.
  function recordCourse (service: string, live: readonly number[]): LiveCourse {
    const known = waves.get(service) ?? createLiveWaves()
    waves.set(service, known)
    let sum = 0
    for (const count of live) sum += count
    const course = known.record(sum, clock.now())
    return { ...course, hasWaves: course.hasWaves && durationEstimator.usualMs > 0 }
  }

  function findOverload (service: string): ItemOverload {
    const known = overloads.get(service) ?? createItemOverload()
    overloads.set(service, known)
    return known
  }

  function describeUrgency (entries: readonly OpenItem[], estimateMs: (entry: OpenItem) => number = estimateRemainingMs): ItemUrgency[] {
    const now = clock.wallTime()
    return entries.map(entry => ({
      key: entry.key,
      dueInMs: entry.record.submission.acceptedAt + (routes.find(entry.record)?.dueMs ?? 0) - now,
      remainingMs: estimateMs(entry)
    }))
  }

  function estimateBySavedEvents (entry: OpenItem): number {
    return durationEstimator.estimateRemainingMs(countSavedEvents(entry))
  }

  // Events are saved some time after they arrive, so the duration of a run in progress tells more, within that time. A run on a slow server
  // takes longer, and an item with more events than usual is not about to end.
  function estimateRemainingMs (entry: OpenItem): number {
    const bySavedEvents = estimateBySavedEvents(entry)
    const { run } = entry
    if (run?.startedAt === undefined || run.startEvents === undefined) return bySavedEvents
    if (bySavedEvents === 0) return durationEstimator.usualMs * longItemShare
    const byDuration = durationEstimator.estimateRemainingMs(run.startEvents) - (clock.now() - run.startedAt)
    return Math.max(0, bySavedEvents - maxUnsavedMs, Math.min(bySavedEvents, byDuration))
  }

  function describeServer ({ id, slots, softwareVersion }: BackendServerRecord, live: number, running: readonly OpenItem[]): PlannedServer {
    // The order counts only when items have to be interrupted, and only in the plan by the load of each server, which goes by saved events.
    const ordered = live + running.length > slots ? orderByUrgency(describeUrgency(running, estimateBySavedEvents)) : running
    return {
      id,
      slots,
      live,
      items: ordered.map(item => item.key),
      canStartItems: !backoffs.isBackingOff(id) && !fleet.isSuspect(id),
      maxStarts: fleet.permits.countItemPermits(id),
      softwareVersion
    }
  }

  return {
    describeUrgency: entries => describeUrgency(entries),
    describe (service, servers, running) {
      const live = servers.map(({ id }) => fleet.getLoad(id).live)
      const planned = planLive(live, fleet.reportIntervalMs)
      const followed = followLive(live, fleet.reportIntervalMs)
      const occupied = servers.map(({ id, slots }, position) => ({ id, slots, live: followed[position] ?? 0, items: describeUrgency(running.get(id) ?? []) }))
      return {
        service,
        servers: servers.map((server, position) => describeServer(server, planned[position] ?? 0, running.get(server.id) ?? [])),
        occupied,
        course: recordCourse(service, live)
      }
    },
    plan: ({ service, ...situation }, waiting) => planItems({
      ...situation,
      overload: findOverload(service),
      now: clock.now(),
      waiting: waiting?.items ?? [],
      resumptions: waiting?.resumptions,
      requestMs: fleet.requestMs,
      objectiveMs: routes.findLiveObjectiveMs(service)
    }),
    clear () {
      waves.clear()
      overloads.clear()
    }
  }
}
