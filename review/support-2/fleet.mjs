/**
 * Starts the project's programs as processes on loopback addresses, with the commands of the deploy file and with settings as the
 * platform fills them in for a small deployment.
 * @module
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../..', import.meta.url))

// A case that could not run has not shown anything.
process.on('uncaughtException', error => {
  console.error(error)
  process.exit(2)
})

/** Availability zones and their regions. */
export const regions = { 'zone-a': 'region-1', 'zone-b': 'region-1', 'zone-c': 'region-2' }
const zones = Object.keys(regions)

/** Bounds of the small deployments, as their pages name them. */
export const bounds = { contactMs: 4_000, drainMs: 2_500, settleMs: 1_000, graceSeconds: 8, heartbeatMs: 1_200, statusSeconds: 120 }

/**
 * Waits.
 * @param {number} ms - how long, in milliseconds
 */
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

// Reads the command of each role from the deploy file.
function readCommands () {
  const commands = new Map()
  let role
  for (const line of readFileSync(join(root, 'deploy/system.toml'), 'utf8').split('\n')) {
    role = /^\[roles\.(\w+)\]/.exec(line)?.[1] ?? role
    const run = /^run = "(.*)"/.exec(line)?.[1]
    if (run !== undefined) commands.set(role, run.split(' '))
  }
  return commands
}

// Finds ports that are free at all of the addresses, since the machines of a deployment share their ports.
async function findPorts (count, addresses) {
  const ports = []
  let port = 10_000 + process.pid * 97 % 20_000
  while (ports.length < count) {
    port++
    const free = await Promise.all(addresses.map(address => isFree(address, port)))
    if (free.every(Boolean)) ports.push(port)
  }
  return ports
}

function isFree (address, port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, address, () => server.close(() => resolve(true)))
  })
}

/** One process of the system; it is started anew after it has ended by itself, as the platform does. */
export class Host {
  constructor (command, settings, folder, record) {
    this.command = command
    this.settings = settings
    this.record = record
    this.path = join(folder, `${settings.host}.json`)
    this.exits = []
    this.isWanted = false
    this.output = ''
  }

  start () {
    this.isWanted = true
    writeFileSync(this.path, JSON.stringify(this.settings))
    const [program, ...flags] = this.command
    const child = spawn(program === 'node' ? process.execPath : program, flags, {
      cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, JAYCHUTE_BOOT: this.path }, stdio: ['ignore', 'pipe', 'pipe']
    })
    this.child = child
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', chunk => { this.output = (this.output + chunk).slice(-200_000) })
    }
    child.once('exit', (code, signal) => {
      if (!this.isWanted || this.child !== child) return
      this.exits.push({ at: performance.now(), code, signal })
      this.record(`${this.settings.host} ended by itself: code ${code}, signal ${signal}`)
      this.settings = { ...this.settings, form: false }
      setTimeout(() => { if (this.isWanted) this.start() }, 300)
    })
  }

  signal (name) {
    this.child?.kill(name)
  }

  /** Kills the process without starting it again, and waits for its end. */
  async kill () {
    this.isWanted = false
    const { child } = this
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return
    await new Promise(resolve => {
      child.once('exit', resolve)
      child.kill('SIGKILL')
    })
  }

  restart () {
    this.settings = { ...this.settings, form: false }
    this.start()
  }
}

/**
 * Starts three control hosts, gateways and executors.
 * @param {{ gateways?: number, executors?: number, record: (text: string) => void }} options - numbers of hosts, and the record
 */
export async function startFleet ({ gateways = 2, executors = 1, record }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const addresses = { control: ['127.0.0.1', '127.0.0.2', '127.0.0.3'], gateway: [], executor: [] }
  for (let index = 0; index < gateways; index++) addresses.gateway.push(`127.0.0.${11 + index}`)
  for (let index = 0; index < executors; index++) addresses.executor.push(`127.0.0.${31 + index}`)
  const [controlPort, operatorPort, directoryPort, callerPort, readinessPort] = await findPorts(5, Object.values(addresses).flat())
  const commands = readCommands()
  const seeds = addresses.control.map(address => `${address}:${operatorPort}`)

  function create (role, address, index) {
    const zone = zones[index % zones.length]
    const dataFolder = join(folder, `data-${role}-${index}`)
    if (role === 'control') mkdirSync(dataFolder)
    return new Host(commands.get(role), {
      role,
      host: `${role}-${index + 1}`,
      availabilityZone: zone,
      region: regions[zone],
      regions,
      seeds: seeds.join(','),
      controlPort,
      form: true,
      address,
      callerAddress: role === 'gateway' ? `${address}:${callerPort}` : '',
      readinessAddress: role === 'gateway' ? `${address}:${readinessPort}` : '',
      controlAddress: role === 'control' ? `${address}:${operatorPort}` : '',
      directoryAddress: role === 'control' ? `${address}:${directoryPort}` : '',
      dataFolder: role === 'control' ? dataFolder : '',
      compressesResults: true,
      toleratedLosses: 1,
      heartbeatMs: bounds.heartbeatMs,
      graceSeconds: bounds.graceSeconds,
      statusKeepSeconds: bounds.statusSeconds,
      quotaWindowSeconds: '',
      quotaOvershootShare: '0.1',
      quotaOvershootRequests: ''
    }, folder, record)
  }

  const hosts = {}
  for (const role of ['control', 'gateway', 'executor']) hosts[role] = addresses[role].map((address, index) => create(role, address, index))
  const all = Object.values(hosts).flat()
  for (const host of all) host.start()
  // When the case itself is ended, no process of it remains.
  process.once('exit', () => { for (const host of all) host.signal('SIGKILL') })
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2))
  return {
    ...hosts,
    all,
    folder,
    operatorAddresses: seeds,
    callerAddresses: addresses.gateway.map(address => `${address}:${callerPort}`),
    readinessAddresses: addresses.gateway.map(address => `${address}:${readinessPort}`),
    async close () {
      await Promise.all(all.map(host => host.kill()))
      rmSync(folder, { recursive: true, force: true })
    }
  }
}
