/**
 * What the leader tells hosts of the load of all servers.
 * @module
 */
import type { ServerLoad } from './fleetMessages.ts'
import type { LoadSums } from './hostSessions.ts'

/**
 * Lists the servers with load, or with another pace than usual.
 * @param sums - what the hosts have reported
 * @param batch - batch items in flight, by server
 * @param paces - paces that differ from 1, by server
 * @returns the loads by id of the server
 */
export function listServerLoads ({ live, extraWork, tokens }: LoadSums, batch: ReadonlyMap<string, number>, paces: ReadonlyMap<string, number>): Record<string, ServerLoad> {
  const loads: Record<string, ServerLoad> = {}
  for (const id of new Set([...live.keys(), ...batch.keys(), ...paces.keys()])) {
    const load: { -readonly [Name in keyof ServerLoad]: ServerLoad[Name] } = { live: live.get(id) ?? 0, batch: batch.get(id) ?? 0 }
    if (paces.has(id)) load.pace = paces.get(id)
    if (extraWork.has(id)) load.extraWork = extraWork.get(id)
    if (tokens.has(id)) load.tokens = tokens.get(id)
    loads[id] = load
  }
  return loads
}
