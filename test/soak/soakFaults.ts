/**
 * The faults of the soak, drawn from a seed: signals, freezes, restarts and crashes in series that overlap.
 * @module
 */
import type { Random } from '../../src/process/program/random.ts'
import type { SoakFleet, SoakHost } from './soakFleet.ts'
import type { SoakServer } from './soakServers.ts'

const maxPauseMs = 900
/** Time after which a started process has set its signal handlers, in milliseconds. */
const startMs = 1_500
const maxFreezeMs = 3_500
const maxDownMs = 1_500
const maxCrashMs = 1_200

/** A fault that was injected. */
export interface InjectedFault {
  readonly at: number
  readonly text: string
}

/**
 * Injects faults until the signal aborts, then ends those in progress. Of these faults, one affects a role at a time: a majority of
 * the control hosts runs, and a gateway unless all are killed otherwise.
 * @param fleet - the processes
 * @param servers - the backend servers
 * @param affected - hosts with a fault in progress, shared with faults of other sources
 * @param random - source of the faults
 * @param signal - ends the task
 * @returns the faults
 */
export async function injectFaults (fleet: SoakFleet, servers: readonly SoakServer[], affected: Set<SoakHost>, random: Random, signal: AbortSignal): Promise<InjectedFault[]> {
  const injected: InjectedFault[] = []
  const startedAt = performance.now()
  const inProgress = new Set<Promise<void>>()

  function note (text: string): void {
    injected.push({ at: Math.round(performance.now() - startedAt), text })
  }

  function run (fault: Promise<void>): void {
    const running = fault.finally(() => inProgress.delete(running))
    inProgress.add(running)
  }

  // One host of each role at a time; the others keep a majority, a gateway and an executor.
  function chooseHost (): SoakHost | undefined {
    const host = fleet.hosts[random.below(fleet.hosts.length)]
    if (host === undefined || [...affected].some(other => other.role === host.role)) return undefined
    return host
  }

  async function endAndRestart (host: SoakHost, signals: NodeJS.Signals, downMs: number): Promise<void> {
    affected.add(host)
    note(`${signals} ${host.name}, down for ${downMs} ms`)
    await host.end(signals)
    await pause(downMs)
    await host.start()
    affected.delete(host)
  }

  async function freeze (host: SoakHost, durationMs: number): Promise<void> {
    affected.add(host)
    note(`freeze ${host.name} for ${durationMs} ms`)
    host.freeze()
    await pause(durationMs)
    if (host.isFrozen) host.thaw()
    affected.delete(host)
  }

  async function crash (server: SoakServer, durationMs: number): Promise<void> {
    note(`crash ${server.id} for ${durationMs} ms`)
    server.crash()
    await pause(durationMs)
    await server.restart()
  }

  while (!signal.aborted) {
    await pause(random.below(maxPauseMs))
    const kind = random.below(4)
    const durationMs = random.next()
    if (kind === 3) {
      const server = servers[random.below(servers.length)]
      if (server?.isUp === true && servers.filter(other => other.isUp).length > 1) run(crash(server, Math.round(durationMs * maxCrashMs)))
      continue
    }
    const host = chooseHost()
    if (host === undefined) continue
    if (kind === 2) run(freeze(host, Math.round(durationMs * maxFreezeMs)))
    else run(endAndRestart(host, kind === 0 ? 'SIGKILL' : 'SIGTERM', Math.round(durationMs * maxDownMs)))
  }
  await Promise.all(inProgress)
  return injected
}

/**
 * Tells hosts in series that their settings have changed, until the signal aborts.
 * @param fleet - the processes
 * @param random - chooses the hosts and the pauses
 * @param signal - ends the task
 * @returns a promise that resolves when the task has ended
 */
export async function injectReloads (fleet: SoakFleet, random: Random, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await pause(random.below(maxPauseMs))
    const host = fleet.hosts[random.below(fleet.hosts.length)]
    // The signal ends a process that has not yet reached its handler.
    if (host?.isRunning === true && performance.now() - host.disturbedAt > startMs) host.reload()
  }
}

function pause (durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs))
}
