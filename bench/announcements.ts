/**
 * Measures the cost of sharing announcements between entry hosts: messages and bytes per second over real connections within
 * one process, by the number of entry hosts and of backend servers. Writes bench/results/announcements.json.
 *
 * Usage: npx tsx bench/announcements.ts
 * @module
 */
import { mkdir, writeFile } from 'node:fs/promises'
import type { Server, Socket } from 'node:net'
import { cpus } from 'node:os'
import { reserveAddresses } from '../scripts/processes.ts'
import { runEntryPeer } from '../src/connection/entryPeer.ts'
import { createInternalClients } from '../src/connection/internalClient.ts'
import { createInternalRouter } from '../src/connection/internalRouter.ts'
import { createBackendServers } from '../src/process/routing/backendServers.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { serveInternalCalls } from '../src/connection/callServer.ts'
import { createSharedUpdates, type SharedUpdates } from '../src/process/routing/sharedUpdates.ts'

const warmUpMs = 3_000
const measureMs = 10_000
const renewMs = 1_000

interface Measurement {
  readonly entryHosts: number
  readonly backendServers: number
  /** Shares received per second by all entry hosts together. */
  readonly messagesPerSecond: number
  /** Bytes per second on all connections in both directions, with the headers of the frames but without TCP and IP headers. */
  readonly bytesPerSecond: number
  /** Bytes that one entry host sends and receives per second, on average. */
  readonly bytesPerSecondPerHost: number
  /** CPU use of this process, which runs all entry hosts and the load, in cores. */
  readonly cores: number
}

interface Counts {
  messages: number
  bytes: number
}

function trackSockets (server: Server, sockets: Set<Socket>): void {
  server.on('connection', socket => sockets.add(socket))
}

function readCounts (sockets: Iterable<Socket>, messages: number): Counts {
  let bytes = 0
  for (const socket of sockets) bytes += socket.bytesRead + socket.bytesWritten
  return { messages, bytes }
}

async function measure (entryHosts: number, backendServers: number): Promise<Measurement> {
  const lifecycle = createLifecycle()
  const clock = createSystemClock()
  const addresses = await reserveAddresses(entryHosts)
  const sockets = new Set<Socket>()
  const updatesByHost: SharedUpdates[] = []
  let messages = 0
  for (const address of addresses) {
    const registry = createBackendServers(clock, createSilentLogger())
    const updates = createSharedUpdates(clock)
    const clients = createInternalClients(lifecycle)
    const router = createInternalRouter({
      controlHost: undefined,
      dispatchReceiver: undefined,
      shareReceiver: {
        receive (share) {
          messages++
          for (const { announcement, ageMs } of share.announcements) registry.recordAnnouncement(announcement, ageMs)
          return { unheld: share.renewals.filter(renewal => !registry.renew(renewal)).map(renewal => renewal.address) }
        }
      }
    })
    const server = await serveInternalCalls(address, router, lifecycle, createMetrics())
    if (server.isErr()) throw server.error
    trackSockets(server.value, sockets)
    updatesByHost.push(updates)
    for (const peer of addresses) {
      if (peer === address) continue
      lifecycle.run(signal => runEntryPeer({ address: peer, host: address, updates, clients, clock, signal }))
    }
  }
  // Each backend server announces itself to one entry host. The phases are spread evenly over the renewal interval.
  for (let number = 0; number < backendServers; number++) {
    lifecycle.run(async signal => {
      await clock.sleep(renewMs * number / backendServers, signal)
      for (let sequence = 1; !signal.aborted; sequence++) {
        updatesByHost[number % entryHosts]?.addAnnouncement({
          address: `10.0.${number >> 8}.${number & 255}:8000`,
          availabilityZone: 'dublin-north',
          region: 'leinster',
          pool: 'rack-assist',
          capacity: 16,
          models: ['rack-notes-7b'],
          fencingChecked: true,
          incarnation: `001764834347000-${'0'.repeat(36)}`,
          sequence,
          leaving: false,
          running: 8
        })
        await clock.sleep(renewMs, signal)
      }
    })
  }
  await clock.sleep(warmUpMs)
  const before = readCounts(sockets, messages)
  const cpuBefore = process.cpuUsage()
  const startedAt = clock.now()
  await clock.sleep(measureMs)
  const seconds = (clock.now() - startedAt) / 1000
  const after = readCounts(sockets, messages)
  const cpuUsed = process.cpuUsage(cpuBefore)
  await lifecycle.close()
  const bytesPerSecond = (after.bytes - before.bytes) / seconds
  return {
    entryHosts,
    backendServers,
    messagesPerSecond: round((after.messages - before.messages) / seconds),
    bytesPerSecond: round(bytesPerSecond),
    bytesPerSecondPerHost: round(2 * bytesPerSecond / entryHosts),
    cores: round((cpuUsed.user + cpuUsed.system) / 1e6 / seconds)
  }
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}

/** Fits the exponent of a power law by least squares on the logarithms. */
function exponentOf (points: ReadonlyArray<readonly [number, number]>): number {
  const logs = points.map(([size, value]) => [Math.log(size), Math.log(value)] as const)
  const meanX = logs.reduce((sum, [x]) => sum + x, 0) / logs.length
  const meanY = logs.reduce((sum, [, y]) => sum + y, 0) / logs.length
  const covariance = logs.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  return round(covariance / logs.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0))
}

const byHosts: Measurement[] = []
const byBackendServers: Measurement[] = []
const both: Measurement[] = []
for (const entryHosts of [6, 12, 24]) byHosts.push(await measure(entryHosts, 6))
for (const backendServers of [3, 6, 12, 24]) byBackendServers.push(await measure(12, backendServers))
for (const size of [6, 12, 18]) both.push(await measure(size, size))
const slopes = {
  messagesByEntryHosts: exponentOf(byHosts.map(point => [point.entryHosts, point.messagesPerSecond])),
  bytesByEntryHosts: exponentOf(byHosts.map(point => [point.entryHosts, point.bytesPerSecond])),
  messagesByBackendServers: exponentOf(byBackendServers.map(point => [point.backendServers, point.messagesPerSecond])),
  bytesByBackendServers: exponentOf(byBackendServers.map(point => [point.backendServers, point.bytesPerSecond])),
  messagesByBoth: exponentOf(both.map(point => [point.entryHosts, point.messagesPerSecond])),
  bytesByBoth: exponentOf(both.map(point => [point.entryHosts, point.bytesPerSecond]))
}
const results = { at: new Date().toISOString(), node: process.version, cores: cpus().length, measureMs, byHosts, byBackendServers, both, slopes }
const folder = new URL('results/', import.meta.url)
await mkdir(folder, { recursive: true })
await writeFile(new URL('announcements.json', folder), JSON.stringify(results, undefined, 2) + '\n')
console.log(JSON.stringify(results, undefined, 2))
