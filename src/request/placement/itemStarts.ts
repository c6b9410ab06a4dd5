/**
 * Which waiting items of a service are started: those that end, or can be kept, when the next wave of live requests comes.
 *
 * Load pattern: live traffic comes in waves of a few seconds, and an item runs about as long as a trough between two waves and the rise of
 * the next. Items that fill each trough are interrupted by the next wave; items that only fill what the wave leaves waste the troughs. So the
 * room for an item is judged over its whole run, by the course that the live requests are expected to take. There may be more items than fit
 * so; as many as are late otherwise are started as well.
 * @module
 */
import type { ItemUrgency } from './batchPlan.ts'
import type { LiveCourse } from './liveWaves.ts'

/** Distance between the moments at which the room is judged, in milliseconds. */
const stepMs = 500

/** Number of moments at which the room is judged; later ones are taken to be in a wave. */
const steps = 24

/** Run times that an item that is started in time has left until it is due; one of them makes up for an interruption. */
const reservedRuns = 3

/** Time until the next wave below which no item is started that it is going to interrupt, in milliseconds. */
const minTroughRunMs = 400

/** Items of a service, and the live requests beside them. */
export interface ItemQueue {
  /** Waiting items, the most urgent first. */
  readonly waiting: readonly ItemUrgency[]
  /** Expected remaining run times of the items in flight, in milliseconds. */
  readonly runningMs: readonly number[]
  /** Slots of all ready servers. */
  readonly slots: number
  readonly course: LiveCourse
  /** Usual duration of a live request, in milliseconds. */
  readonly requestMs: number
}

/**
 * Selects the items that may be started.
 * @param queue - the items, and the live requests beside them
 * @returns the items, the most urgent first
 */
export function selectStarts ({ waiting, runningMs, slots, course, requestMs }: ItemQueue): readonly ItemUrgency[] {
  if (!course.hasWaves) return waiting
  const free = Array.from({ length: steps }, (_, step) => slots - predictLive(course, requestMs, step * stepMs))
  for (const remainingMs of runningMs) occupy(free, remainingMs)
  const selected: ItemUrgency[] = []
  // Places that are free in a wave as well; as many items at least are worked on at any time.
  const parallel = Math.max(1, slots - course.peak)
  let work = 0
  for (const remainingMs of runningMs) work += remainingMs
  for (const item of waiting) {
    const isLateOtherwise = work / parallel + item.remainingMs * reservedRuns > item.dueInMs
    const isSelected = fits(free, item.remainingMs) || (isLateOtherwise && course.waveInMs >= Math.min(item.remainingMs, minTroughRunMs) && (free[0] ?? 0) >= 1)
    work += item.remainingMs
    if (!isSelected) continue
    occupy(free, item.remainingMs)
    selected.push(item)
  }
  return selected
}

/**
 * Predicts the live requests in flight.
 * @param course - their recent course
 * @param requestMs - usual duration of a live request, in milliseconds
 * @param afterMs - time from now, in milliseconds
 * @returns the number of live requests
 */
export function predictLive ({ live, peak, low, waveInMs }: LiveCourse, requestMs: number, afterMs: number): number {
  if (waveInMs === 0) return Math.max(live, peak)
  if (afterMs <= waveInMs) return Math.max(low, Math.min(live, peak))
  return low + (peak - low) * (1 - Math.exp(-(afterMs - waveInMs) / Math.max(1, requestMs)))
}

function fits (free: readonly number[], remainingMs: number): boolean {
  const end = countSteps(remainingMs)
  for (const [step, count] of free.entries()) {
    if (step >= end) return true
    if (count < 1) return false
  }
  return true
}

function occupy (free: number[], remainingMs: number): void {
  const end = countSteps(remainingMs)
  for (const step of free.keys()) {
    if (step >= end) return
    free[step] = (free[step] ?? 0) - 1
  }
}

function countSteps (remainingMs: number): number {
  return Math.min(steps, Math.max(1, Math.ceil(remainingMs / stepMs)))
}
