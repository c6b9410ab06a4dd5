/**
 * The processes of the soak: control hosts, gateways and executors of the compiled programs, on loopback addresses.
 * @module
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type Program, reserveAddresses, startProgram } from '../../scripts/processes.ts'
import type { FleetRole } from '../../src/process/fleet/fleetMessages.ts'
import { revocationMs } from './soakAccounts.ts'

/** Interval of the heartbeats of backend servers, in milliseconds. */
export const heartbeatMs = 400

/** A host of the soak. */
export interface SoakHost {
  readonly name: string
  readonly role: FleetRole
  readonly isRunning: boolean
  readonly isFrozen: boolean
  /** Monotonic time of the last start, end, freeze or thaw, in milliseconds. */
  readonly disturbedAt: number
  start (): Promise<void>
  /** Sends a signal that ends the process, and waits until it has exited. */
  end (signal: NodeJS.Signals): Promise<void>
  freeze (): void
  thaw (): void
  /** Tells the process that its settings have changed. */
  reload (): void
  /** Everything that the processes of this host have written. */
  output (): string
}

/** All hosts, and the addresses that callers and operators use. */
export interface SoakFleet {
  readonly hosts: readonly SoakHost[]
  /** Addresses for callers, one for each gateway. */
  readonly gateways: readonly string[]
  /** Addresses for operators and backend servers, one for each control host. */
  readonly controls: readonly string[]
  close (): Promise<void>
}

/**
 * Starts three control hosts, two gateways and two executors.
 * @returns the fleet, without tables
 */
export async function startSoakFleet (): Promise<SoakFleet> {
  const folder = await mkdtemp(join(tmpdir(), 'jaychute-soak-'))
  const [controlPort = 0, operatorPort = 0, directoryPort = 0] = (await reserveAddresses(3)).map(address => Number(address.split(':')[1]))
  const controlIps = ['127.0.0.1', '127.0.0.2', '127.0.0.3']
  // Executors serve calls of other hosts at the same port as control hosts.
  const executorIps = ['127.0.0.4', '127.0.0.5']
  const controls = controlIps.map(ip => `${ip}:${operatorPort}`)
  const gateways = await reserveAddresses(2)
  const commonSettings = {
    availabilityZone: 'z1', region: 'r1', regions: { z1: 'r1' }, seeds: controls.join(','), controlPort, heartbeatMs, graceSeconds: 4, revocationMs
  }

  function createHost (role: FleetRole, name: string, settings: Readonly<Record<string, unknown>>): SoakHost {
    let program: Program | undefined
    let isFrozen = false
    let disturbedAt = -Infinity
    let earlierOutput = ''
    let isFirstStart = true
    return {
      name,
      role,
      get isRunning () { return program !== undefined },
      get isFrozen () { return isFrozen },
      get disturbedAt () { return disturbedAt },
      async start () {
        const file = join(folder, `${name}.json`)
        await writeFile(file, JSON.stringify({ ...commonSettings, ...settings, role, host: name, form: isFirstStart }))
        isFirstStart = false
        disturbedAt = performance.now()
        program = startProgram(name, 'src/daemons/jaychuteHost.js', ['--settings-file', file])
      },
      async end (signal) {
        const ended = program
        if (ended === undefined) return
        if (isFrozen) this.thaw()
        disturbedAt = performance.now()
        await ended.end(signal)
        earlierOutput += ended.errors()
        program = undefined
      },
      freeze () {
        disturbedAt = performance.now()
        isFrozen = program?.child.kill('SIGSTOP') === true
      },
      reload () {
        program?.child.kill('SIGHUP')
      },
      thaw () {
        disturbedAt = performance.now()
        program?.child.kill('SIGCONT')
        isFrozen = false
      },
      output: () => earlierOutput + (program?.errors() ?? '')
    }
  }

  const hosts = [
    ...controlIps.map((ip, index) => createHost('control', `control-${index}`, {
      address: ip, controlAddress: `${ip}:${operatorPort}`, directoryAddress: `${ip}:${directoryPort}`, dataFolder: join(folder, ip)
    })),
    ...gateways.map((callerAddress, index) => createHost('gateway', `gateway-${index}`, { callerAddress })),
    ...executorIps.map((ip, index) => createHost('executor', `executor-${index}`, { address: ip }))
  ]
  for (const host of hosts) await host.start()
  return {
    hosts,
    gateways,
    controls,
    async close () {
      for (const host of hosts) await host.end('SIGKILL')
      await rm(folder, { recursive: true, force: true })
    }
  }
}
