/**
 * Cost of sharing announcements: messages and bytes a second over real connections between entry hosts in one process,
 * against the number of entry hosts and of backend servers. Run with `npx tsx bench/announcements.ts`.
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
import { serveInternalCalls } from '../src/connection/callServer.ts'
import { createSharedUpdates, type SharedUpdates } from '../src/process/routing/sharedUpdates.ts'

const warmUpMs = 3_000
const measureMs = 10_000
const renewMs = 1_000

interface Measurement {
  readonly entryHosts: number
  readonly backendServers: number
  /** Shares that arrived, a second, in the whole system. */
  readonly messagesPerSecond: number
  /** Bytes in both directions, a second, in the whole system, with HTTP but without TCP and IP headers. */
  readonly bytesPerSecond: number
  /** Bytes that one entry host sends and receives, a second, on average. */
  readonly bytesPerSecondPerHost: number
  /** Processor time of all hosts together and of this program, in parts of one core. */
  readonly cores: number
}

interface Counts {
  messages: number
  bytes: number
}

function countBytes (server: Server, sockets: Set<Socket>): void {
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
  const allNews: SharedUpdates[] = []
  let messages = 0
  for (const address of addresses) {
    const known = createBackendServers(clock, createSilentLogger())
    const news = createSharedUpdates(clock)
    const clients = createInternalClients(lifecycle)
    const router = createInternalRouter({
      controlHost: undefined,
      dispatchReceiver: undefined,
      shareReceiver: {
        receive (share) {
          messages++
          for (const { announcement, ageMs } of share.announcements) known.recordAnnouncement(announcement, ageMs)
          return { unheld: share.renewals.filter(renewal => !known.renew(renewal)).map(renewal => renewal.address) }
        }
      }
    })
    const served = await serveInternalCalls(address, router, lifecycle)
    if (served.isErr()) throw served.error
    countBytes(served.value, sockets)
    allNews.push(news)
    for (const peer of addresses) {
      if (peer === address) continue
      lifecycle.run(signal => runEntryPeer({ address: peer, host: address, updates: news, clients, clock, signal }))
    }
  }
  // Backend servers renew at moments spread over the second, each through one entry host.
  for (let number = 0; number < backendServers; number++) {
    lifecycle.run(async signal => {
      await clock.sleep(renewMs * number / backendServers, signal)
      for (let sequence = 1; !signal.aborted; sequence++) {
        allNews[number % entryHosts]?.addAnnouncement({
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
  const usedBefore = process.cpuUsage()
  const startedAt = clock.now()
  await clock.sleep(measureMs)
  const seconds = (clock.now() - startedAt) / 1000
  const after = readCounts(sockets, messages)
  const used = process.cpuUsage(usedBefore)
  await lifecycle.close()
  const bytesPerSecond = (after.bytes - before.bytes) / seconds
  return {
    entryHosts,
    backendServers,
    messagesPerSecond: round((after.messages - before.messages) / seconds),
    bytesPerSecond: round(bytesPerSecond),
    bytesPerSecondPerHost: round(2 * bytesPerSecond / entryHosts),
    cores: round((used.user + used.system) / 1e6 / seconds)
  }
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}

/** Exponent of a power law by least squares on logarithms. */
function exponentOf (points: ReadonlyArray<readonly [number, number]>): number {
  const logs = points.map(([size, value]) => [Math.log(size), Math.log(value)] as const)
  const meanX = logs.reduce((sum, [x]) => sum + x, 0) / logs.length
  const meanY = logs.reduce((sum, [, y]) => sum + y, 0) / logs.length
  const above = logs.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  return round(above / logs.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0))
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
