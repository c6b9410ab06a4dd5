/**
 * Releases of the servers' software in the soak, and losses of all gateways at once, drawn from a seed of their own: two versions
 * serve side by side while the other faults go on.
 * @module
 */
import type { Random } from '../../src/process/program/random.ts'
import { pause } from './soakClients.ts'
import type { InjectedFault } from './soakFaults.ts'
import type { SoakFleet, SoakHost } from './soakFleet.ts'
import type { SoakServer } from './soakServers.ts'

/** The software versions that serve side by side. */
export const softwareVersions = ['v1', 'v2'] as const

const minPauseMs = 800
const maxExtraPauseMs = 1_600
const maxReplacementMs = 600
const maxGatewaysDownMs = 600

/** One in this number of faults kills all gateways; the others replace a server. */
const gatewayKillInterval = 4

/**
 * Replaces servers by ones of the other version, and kills all gateways at once, until the signal aborts. A version may lose its
 * last server.
 * @param fleet - the processes
 * @param servers - the backend servers
 * @param affected - hosts with a fault in progress, shared with the other faults
 * @param random - source of the faults
 * @param signal - ends the task
 * @returns the faults
 */
export async function injectReleases (fleet: SoakFleet, servers: readonly SoakServer[], affected: Set<SoakHost>, random: Random, signal: AbortSignal): Promise<InjectedFault[]> {
  const injected: InjectedFault[] = []
  const startedAt = performance.now()

  function note (text: string): void {
    injected.push({ at: Math.round(performance.now() - startedAt), text })
  }

  async function replace (server: SoakServer, downMs: number): Promise<void> {
    const [first, second] = softwareVersions
    const replacedId = server.id
    server.replace(server.softwareVersion === first ? second : first)
    note(`replace ${replacedId} by ${server.id} of ${server.softwareVersion}, down for ${downMs} ms`)
    await pause(downMs)
    await server.restart()
  }

  async function killGateways (gateways: readonly SoakHost[], downMs: number): Promise<void> {
    for (const gateway of gateways) affected.add(gateway)
    note(`SIGKILL all gateways, down for ${downMs} ms`)
    await Promise.all(gateways.map(gateway => gateway.end('SIGKILL')))
    await pause(downMs)
    await Promise.all(gateways.map(gateway => gateway.start()))
    for (const gateway of gateways) affected.delete(gateway)
  }

  while (!signal.aborted) {
    await pause(minPauseMs + random.below(maxExtraPauseMs))
    const isKill = random.below(gatewayKillInterval) === 0
    const server = servers[random.below(servers.length)]
    const duration = random.next()
    if (isKill) {
      const gateways = fleet.hosts.filter(host => host.role === 'gateway')
      if (!gateways.some(gateway => affected.has(gateway))) await killGateways(gateways, Math.round(duration * maxGatewaysDownMs))
    } else if (server !== undefined && canReplace(server, servers)) await replace(server, Math.round(duration * maxReplacementMs))
  }
  return injected
}

function canReplace (server: SoakServer, servers: readonly SoakServer[]): boolean {
  return server.isUp && servers.some(other => other !== server && other.isUp)
}
