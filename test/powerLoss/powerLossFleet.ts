/**
 * The processes of the power loss: control hosts, gateways and executors of the compiled programs on loopback addresses, in
 * two regions. All of them can be killed at once and started again, with or without some of their data folders.
 * @module
 */
import { type ChildProcess, spawn } from 'node:child_process'
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Worker } from 'node:worker_threads'
import { reserveAddresses } from '../../scripts/processes.ts'
import { FleetRole } from '../../src/process/fleet/fleetMessages.ts'

const daemon = fileURLToPath(new URL('../../dist/src/daemons/jaychuteHost.js', import.meta.url))
const profileModule = new URL('processorProfile.mjs', import.meta.url)
const quotaModule = new URL('processorQuota.mjs', import.meta.url)

/** Interval of the heartbeats of backend servers, in milliseconds. */
export const heartbeatMs = 1_200

/** Control hosts that may be lost at once. */
export const toleratedLosses = 2

/** Flags of Node.js by role, as on the platform. */
const nodeFlags: Readonly<Record<FleetRole, readonly string[]>> = {
  [FleetRole.Gateway]: ['--max-old-space-size=72', '--max-semi-space-size=2'],
  [FleetRole.Control]: ['--max-old-space-size=96', '--max-semi-space-size=2'],
  [FleetRole.Executor]: ['--max-old-space-size=48', '--max-semi-space-size=1']
}

/** Size of the fleet. */
export interface FleetShape {
  readonly controls: number
  readonly gateways: number
  readonly executors: number
  /** Folder for processor profiles of the control hosts; undefined for none. */
  readonly profileFolder: string | undefined
  /** Share of a core that each control host may use; undefined without a limit. */
  readonly controlShare: number | undefined
}

/** A line that a host has written. */
export interface LogLine {
  readonly at: number
  readonly host: string
  readonly event: number
  readonly reason: string | undefined
  readonly value: number | undefined
  readonly inputs: Readonly<Record<string, number>>
}

/** The processes, and the addresses that callers and operators use. */
export interface PowerLossFleet {
  /** Addresses for callers, one for each gateway. */
  readonly gateways: readonly string[]
  /** Addresses for operators and backend servers, one for each control host. */
  readonly controls: readonly string[]
  /** Addresses for metrics, one for each control host. */
  readonly metrics: readonly string[]
  /** All lines so far, with the monotonic time at which they were read. */
  readonly lines: readonly LogLine[]
  /** Unexpected ends of processes. */
  readonly ends: string[]
  /** Name of the control host that became leader last. */
  leader (): string
  /** Starts or ends the processor profiles of all control hosts. */
  toggleProfiles (): void
  /** Kills all processes at once and waits for their ends. */
  killAll (): Promise<void>
  /**
   * Deletes data folders.
   * @param positions - positions of the control hosts
   */
  deleteData (positions: readonly number[]): Promise<void>
  startAll (): Promise<void>
  close (): Promise<void>
}

interface Host {
  readonly name: string
  readonly role: FleetRole
  readonly settings: Readonly<Record<string, unknown>>
}

/**
 * Starts the fleet.
 * @param shape - number of hosts by role, and what is measured
 * @returns the fleet, without tables
 */
export async function startPowerLossFleet (shape: FleetShape): Promise<PowerLossFleet> {
  const folder = await mkdtemp(join(tmpdir(), 'jaychute-power-'))
  const ports = (await reserveAddresses(4)).map(address => Number(address.split(':')[1]))
  const [controlPort = 0, operatorPort = 0, directoryPort = 0, metricsPort = 0] = ports
  const ips = Array.from({ length: shape.controls }, (_, index) => `127.0.38.${index + 1}`)
  const controls = ips.map(ip => `${ip}:${operatorPort}`)
  const gateways = await reserveAddresses(shape.gateways)
  const dataFolders = ips.map((_, index) => join(folder, `data-${index}`))
  const zoneOf = (index: number): Readonly<Record<string, unknown>> => index % 2 === 0 ? { availabilityZone: 'z1', region: 'r1' } : { availabilityZone: 'z2', region: 'r2' }
  const commonSettings = { regions: { z1: 'r1', z2: 'r2' }, seeds: controls.slice(0, 3).join(','), controlPort, heartbeatMs, graceSeconds: 2, statusKeepSeconds: 120, toleratedLosses }
  const hosts: Host[] = [
    ...ips.map((ip, index) => ({ name: `control-${index}`, role: FleetRole.Control, settings: { ...zoneOf(index), address: ip, controlAddress: controls[index], directoryAddress: `${ip}:${directoryPort}`, metricsAddress: `${ip}:${metricsPort}`, dataFolder: dataFolders[index] } })),
    ...gateways.map((callerAddress, index) => ({ name: `gateway-${index}`, role: FleetRole.Gateway, settings: { ...zoneOf(index), callerAddress } })),
    ...Array.from({ length: shape.executors }, (_, index) => ({ name: `executor-${index}`, role: FleetRole.Executor, settings: { ...zoneOf(index), address: `127.0.39.${index + 1}` } }))
  ]
  const children = new Map<string, ChildProcess>()
  const lines: LogLine[] = []
  const ends: string[] = []
  const quota = shape.controlShare === undefined ? undefined : new Worker(quotaModule, { workerData: { share: shape.controlShare } })
  let isFirstStart = true
  let isKilling = false
  let leaderName = ''
  if (shape.profileFolder !== undefined) await mkdir(shape.profileFolder, { recursive: true })

  function startHost ({ name, role }: Host): void {
    const isProfiled = role === FleetRole.Control && shape.profileFolder !== undefined
    const flags = [...nodeFlags[role], ...(isProfiled ? ['--import', profileModule.href] : [])]
    const child = spawn(process.execPath, [...flags, daemon, '--settings-file', join(folder, `${name}.json`)], {
      stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, PROFILE_FOLDER: shape.profileFolder ?? '', PROFILE_NAME: name }
    })
    children.set(name, child)
    let rest = ''
    child.stdout?.on('data', (chunk: Buffer) => {
      const texts = (rest + chunk.toString()).split('\n')
      rest = texts.pop() ?? ''
      for (const text of texts) readLine(name, text)
    })
    child.stderr?.on('data', (chunk: Buffer) => ends.push(`${name} wrote: ${chunk.toString().slice(0, 500)}`))
    child.once('exit', (code, signal) => { if (!isKilling) ends.push(`${name} ended by itself: ${code ?? signal ?? ''}`) })
  }

  function readLine (host: string, text: string): void {
    try {
      const { event, reason, value, inputs } = JSON.parse(text) as Omit<LogLine, 'inputs'> & { readonly inputs?: LogLine['inputs'] }
      lines.push({ at: performance.now(), host, event, reason, value, inputs: inputs ?? {} })
      if (event === leaderElectedEvent) leaderName = host
    } catch {
      // Not a line of the catalogue.
    }
  }

  const fleet: PowerLossFleet = {
    gateways,
    controls,
    metrics: ips.map(ip => `${ip}:${metricsPort}`),
    lines,
    ends,
    leader: () => leaderName,
    toggleProfiles () {
      for (const [name, child] of children) if (name.startsWith('control-')) child.kill('SIGUSR2')
    },
    async killAll () {
      isKilling = true
      const exits: Array<Promise<unknown>> = []
      for (const child of children.values()) {
        if (child.exitCode !== null || child.signalCode !== null) continue
        exits.push(new Promise(resolve => child.once('exit', resolve)))
        child.kill('SIGKILL')
      }
      await Promise.all(exits)
      quota?.postMessage([])
      children.clear()
    },
    async deleteData (positions) {
      for (const position of positions) await rm(dataFolders[position] ?? '', { recursive: true, force: true })
    },
    async startAll () {
      isKilling = false
      for (const host of hosts) {
        await writeFile(join(folder, `${host.name}.json`), JSON.stringify({ ...commonSettings, ...host.settings, role: host.role, host: host.name, form: isFirstStart }))
      }
      isFirstStart = false
      for (const host of hosts) startHost(host)
      quota?.postMessage([...children].filter(([name]) => name.startsWith('control-')).map(([, child]) => child.pid))
    },
    async close () {
      await fleet.killAll()
      await quota?.terminate()
      await rm(folder, { recursive: true, force: true })
    }
  }
  await fleet.startAll()
  return fleet
}

/** Number of the event with which a control host says that it leads. */
const leaderElectedEvent = 204
