/**
 * The plan of the items of one service: which to start where, and which to interrupt.
 *
 * Load pattern: see `liveWaves.ts`. Where live traffic is steady there is nothing to foresee, and the plan follows the load of each server.
 * @module
 */
import { type BatchPlan, type ItemUrgency, planBatch, type PlannedServer, type Resumption } from './batchPlan.ts'
import { endingMs, type OccupiedServer, planInterruptions } from './itemInterruptions.ts'
import type { ItemOverload } from './itemOverload.ts'
import { countExcessItems } from './itemRoom.ts'
import { selectStarts } from './itemStarts.ts'
import type { LiveCourse } from './liveWaves.ts'

/** Duration of a live request that is assumed before any was reported, in milliseconds. */
const initialRequestMs = 700

/** What a plan is made of. */
export interface ItemPlanInputs {
  /** The ready servers, with room for live requests that arrive before the plan has an effect. */
  readonly servers: readonly PlannedServer[]
  /** The ready servers, with the live requests and items in flight. */
  readonly occupied: readonly OccupiedServer[]
  /** The recent course of the live requests. */
  readonly course: LiveCourse
  /** Waiting items, the most urgent first. */
  readonly waiting: readonly ItemUrgency[]
  /** Items that may resume, by key. */
  readonly resumptions?: ReadonlyMap<string, Resumption> | undefined
  /** Overload of the service so far. */
  readonly overload: ItemOverload
  /** Monotonic time, in milliseconds. */
  readonly now: number
  /** Usual duration of a live request, in milliseconds; undefined if it is not known. */
  readonly requestMs: number | undefined
  /** Shortest latency objective of the live routes to the service, in milliseconds; undefined if there are none. */
  readonly objectiveMs: number | undefined
}

/**
 * Plans the items of a service.
 * @param inputs - servers, items and live requests of the service
 * @returns the items to start and to interrupt
 */
export function planItems ({ servers, occupied, course, waiting, resumptions, overload, now, requestMs, objectiveMs }: ItemPlanInputs): BatchPlan {
  const runningMs = occupied.flatMap(({ items }) => items.map(({ remainingMs }) => remainingMs))
  let slots = 0
  for (const server of occupied) slots += server.slots
  const isOverloaded = overload.record({ waiting, runningMs, places: slots - course.peak }, now)
  if (!course.hasWaves || isOverloaded) return planBatch(servers, waiting.map(({ key }) => key), resumptions)
  const selected = selectStarts({ waiting, runningMs, slots, course, requestMs: requestMs ?? initialRequestMs })
  const staying = runningMs.filter(remainingMs => remainingMs > endingMs).length
  const excess = countExcessItems({ ...course, slots, items: staying, requestMs, objectiveMs })
  return {
    starts: planBatch(servers, selected.map(({ key }) => key), resumptions).starts,
    interruptions: planInterruptions(occupied, excess, { requestMs, objectiveMs })
  }
}
