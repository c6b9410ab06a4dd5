/**
 * Reads the counters of all entry hosts from their metrics.
 * @module
 */
import { request } from 'undici'
import type { Fleet } from '../scripts/fleet.ts'

/**
 * Reads the counters of all entry hosts and adds them up.
 * @param fleet - the fleet
 * @returns totals, by name and label separated by a space
 */
export async function readCounters (fleet: Fleet): Promise<Record<string, number>> {
  const totals: Record<string, number> = {}
  for (const host of fleet.entryHosts) {
    const response = await request(`http://${host.metricsAddress}/metrics`)
    for (const line of (await response.body.text()).split('\n')) {
      const match = /^(jaychute_\w+)\{label="([^"]*)"\} (\d+)$/.exec(line)
      if (match === null) continue
      const name = `${match[1]} ${match[2]}`
      totals[name] = (totals[name] ?? 0) + Number(match[3])
    }
  }
  return totals
}

/**
 * Computes the increase of counters between two readings.
 * @param after - totals of the later reading
 * @param before - totals of the earlier reading
 * @returns increases, without counters that did not change
 */
export function subtractCounters (after: Record<string, number>, before: Record<string, number>): Record<string, number> {
  const between: Record<string, number> = {}
  for (const [name, value] of Object.entries(after)) {
    const counted = value - (before[name] ?? 0)
    if (counted !== 0) between[name] = counted
  }
  return between
}
