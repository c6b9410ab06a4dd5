/**
 * Counters of all entry hosts, read from their metrics.
 * @module
 */
import { request } from 'undici'
import type { Fleet } from '../scripts/fleet.ts'

/**
 * Adds up the counters of all entry hosts.
 * @param fleet - the fleet
 * @returns values by name and label
 */
export async function readCounters (fleet: Fleet): Promise<Record<string, number>> {
  const totals: Record<string, number> = {}
  for (const host of fleet.entryHosts) {
    const answer = await request(`http://${host.metricsAddress}/metrics`)
    for (const line of (await answer.body.text()).split('\n')) {
      const match = /^(jaychute_\w+)\{label="([^"]*)"\} (\d+)$/.exec(line)
      if (match === null) continue
      const name = `${match[1]} ${match[2]}`
      totals[name] = (totals[name] ?? 0) + Number(match[3])
    }
  }
  return totals
}

/**
 * Subtracts earlier counters.
 * @param after - values now
 * @param before - values then
 * @returns what was counted in between
 */
export function subtractCounters (after: Record<string, number>, before: Record<string, number>): Record<string, number> {
  const between: Record<string, number> = {}
  for (const [name, value] of Object.entries(after)) {
    const counted = value - (before[name] ?? 0)
    if (counted !== 0) between[name] = counted
  }
  return between
}
