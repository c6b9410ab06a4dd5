/**
 * Starts a small fleet of real processes: control hosts, entry hosts and stand-in backend servers.
 * @module
 */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { type ProgramResult, type Program, reserveAddresses, runProgram, startProgram } from './processes.ts'

/** A host of the fleet. */
export interface FleetHost {
  readonly name: string
  readonly internalAddress: string
  readonly administrationAddress: string
  readonly metricsAddress: string
  /** Empty string for a control host. */
  readonly callerAddress: string
  readonly flags: readonly string[]
  program: Program
}

/** Size and settings of a fleet. */
export interface FleetSize {
  readonly controlHosts: number
  readonly entryHosts: number
  /** Time for which callers may cache the list of addresses, in milliseconds; 500 by default. */
  readonly addressKeepMs?: number
  /** Further flags of control hosts; none by default. */
  readonly controlFlags?: readonly string[]
  /** Flags of Node.js for entry hosts; none by default. */
  readonly entryNodeFlags?: readonly string[]
  /** Further flags of entry hosts; none by default. */
  readonly entryFlags?: readonly string[]
}

/** A running fleet. */
export interface Fleet {
  /** Parent of the data folders. */
  readonly folder: string
  readonly controlHosts: readonly FleetHost[]
  readonly entryHosts: readonly FleetHost[]
  readonly standIns: Program[]
  /**
   * Starts a stand-in backend server that announces itself to the entry hosts.
   * @param flags - further flags of the stand-in
   * @returns the program
   */
  startStandIn (flags?: readonly string[]): Program
  /**
   * Ends a host by a signal and starts it again with the same flags.
   * @param host - the host
   * @param signal - the signal
   * @param emptyDataFolder - whether the data folder is removed in between; false by default
   * @returns a promise that resolves when the process has been started
   */
  restart (host: FleetHost, signal: NodeJS.Signals, emptyDataFolder?: boolean): Promise<void>
  /**
   * Starts one more control host, which has the addresses of the others in its flags.
   * @returns the host
   */
  addControlHost (): Promise<FleetHost>
  /**
   * Runs the `jaychute` command of operators against the first entry host.
   * @param args - positional arguments and flags
   * @returns exit code and output
   */
  operate (...args: readonly string[]): Promise<ProgramResult>
  /** Kills all processes and removes the data folders. */
  close (): Promise<void>
}

const daemon = 'src/daemons/jaychuted.js'
const zones = ['zone-a', 'zone-b', 'zone-c']

/**
 * Starts the processes of a fleet. It does not wait until they are ready.
 * @param size - number of hosts of each role
 * @returns the running fleet
 */
export async function startFleet (size: FleetSize): Promise<Fleet> {
  const folder = await mkdtemp(join(tmpdir(), 'jaychute-'))
  const count = size.controlHosts + size.entryHosts
  const addresses = await reserveAddresses(count * 4)
  const controlAddresses = addresses.slice(0, size.controlHosts).join(',')
  const hosts: FleetHost[] = []
  for (let number = 0; number < count; number++) {
    const isControl = number < size.controlHosts
    const name = isControl ? `control-${number}` : `entry-${number - size.controlHosts}`
    const internalAddress = addresses[number] ?? ''
    const administrationAddress = addresses[count + number] ?? ''
    const callerAddress = isControl ? '' : addresses[count * 2 + number] ?? ''
    const metricsAddress = addresses[count * 3 + number] ?? ''
    const zone = zones[(isControl ? number : number - size.controlHosts) % zones.length] ?? ''
    const flags = [
      '--role', isControl ? 'control' : 'entry', '--host', name, '--availability-zone', zone,
      '--region', zone === 'zone-c' ? 'region-b' : 'region-a', '--control-hosts', controlAddresses,
      '--internal-address', internalAddress, '--administration-address', administrationAddress,
      '--metrics-address', metricsAddress,
      ...(isControl ? ['--data-folder', join(folder, name), ...(size.controlFlags ?? [])] : ['--caller-address', callerAddress, '--address-keep-ms', String(size.addressKeepMs ?? 500), ...(size.entryFlags ?? [])])
    ]
    hosts.push({ name, internalAddress, administrationAddress, metricsAddress, callerAddress, flags, program: startProgram(name, daemon, flags, isControl ? [] : size.entryNodeFlags) })
  }
  const controlHosts = hosts.slice(0, size.controlHosts)
  const entryHosts = hosts.slice(size.controlHosts)
  const standIns: Program[] = []
  return {
    folder,
    controlHosts,
    entryHosts,
    standIns,
    startStandIn (flags = []) {
      const entryAddresses = entryHosts.map(host => host.callerAddress).join(',')
      const program = startProgram(`stand-in-${standIns.length}`, 'test/standIn/main.js', ['--entry-hosts', entryAddresses, ...flags])
      standIns.push(program)
      return program
    },
    async restart (host, signal, emptyDataFolder = false) {
      await host.program.end(signal)
      if (emptyDataFolder) await rm(join(folder, host.name), { recursive: true, force: true })
      host.program = startProgram(host.name, daemon, host.flags, host.callerAddress === '' ? [] : size.entryNodeFlags)
    },
    async addControlHost () {
      const [internalAddress = '', administrationAddress = '', metricsAddress = ''] = await reserveAddresses(3)
      const name = `control-${hosts.length}`
      const flags = [
        '--role', 'control', '--host', name, '--availability-zone', zones[0] ?? '', '--region', 'region-a',
        '--control-hosts', `${controlAddresses},${internalAddress}`, '--internal-address', internalAddress,
        '--administration-address', administrationAddress, '--metrics-address', metricsAddress, '--data-folder', join(folder, name), ...(size.controlFlags ?? [])
      ]
      const host = { name, internalAddress, administrationAddress, metricsAddress, callerAddress: '', flags, program: startProgram(name, daemon, flags) }
      hosts.push(host)
      return host
    },
    operate: (...args) => runProgram('src/daemons/jaychute.js', [...args, '--address', entryHosts[0]?.administrationAddress ?? '']),
    async close () {
      for (const program of [...hosts.map(host => host.program), ...standIns]) await program.end('SIGKILL')
      await rm(folder, { recursive: true, force: true })
    }
  }
}
