/**
 * The room that live requests leave for items of a service: how many items may be started to stay, and how many of those in flight have
 * to be interrupted.
 *
 * Load pattern: live traffic comes in waves of a few seconds, and an item runs longer than the trough between two waves. Items that fill a
 * trough are interrupted by the next wave, wait, and fill the next trough. So the room for items is what the recent peak leaves. A live
 * request that finds all slots taken is served as soon as one of the other requests ends. While the expected wait is a small part of what
 * callers accept, it is not worth the interruption of an item. Hosts place live requests by the load of the servers, so a single server that
 * is full is in nobody's way while others are not.
 * @module
 */
import type { LiveCourse } from './liveWaves.ts'

/** Part of the latency objective that a live request may spend waiting for a slot; the rest is needed for transit, prompt and old reports. */
const waitShare = 0.15

/** Live traffic of a service, and its slots. */
export interface ServiceTraffic extends LiveCourse {
  /** Slots of all ready servers. */
  readonly slots: number
  /** Items in flight. */
  readonly items: number
  /** Usual duration of a live request, in milliseconds; undefined if it is not known. */
  readonly requestMs: number | undefined
  /** Shortest latency objective of the live routes to the service, in milliseconds; undefined if there are none. */
  readonly objectiveMs: number | undefined
}

/**
 * Counts the items of a service that are in the way of live requests.
 * @param traffic - live traffic of the service, and its slots
 * @returns the number of items to interrupt
 */
export function countExcessItems (traffic: ServiceTraffic): number {
  const { slots, expected, peak, isWave, items } = traffic
  const level = isWave ? Math.max(expected, peak) : expected
  return Math.min(items, Math.max(0, Math.ceil(level + items - slots - countAcceptableWaits(traffic))))
}

/**
 * Counts the live requests that may wait for a slot at the same time, such that the last one is served soon enough.
 * @param traffic - live traffic of one server or of all servers of a service, and the slots
 * @returns the number of requests
 */
export function countAcceptableWaits ({ slots, items, requestMs, objectiveMs }: Pick<ServiceTraffic, 'slots' | 'items' | 'requestMs' | 'objectiveMs'>): number {
  if (requestMs === undefined || objectiveMs === undefined) return 0
  const endsPerMs = Math.max(0, slots - items) / Math.max(1, requestMs)
  return objectiveMs * waitShare * endsPerMs
}
