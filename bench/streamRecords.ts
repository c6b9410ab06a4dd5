/**
 * Measures what the records of streams cost: processor time of both ends and memory for each stream; and, for comparison, the share of streams
 * whose version could not be derived from their id while servers are replaced one after the other.
 *
 * Usage: npx tsx bench/streamRecords.ts [STREAMS_PER_SECOND] [SECONDS] [GATEWAYS] [KEEPERS]
 * @module
 */
import { reserveAddresses } from '../scripts/processes.ts'
import { createInternalClients } from '../src/connection/internalClient.ts'
import { createInternalRouter } from '../src/connection/internalRouter.ts'
import { serveInternalCalls } from '../src/connection/callServer.ts'
import { createStreamKeeperClient } from '../src/connection/streamKeeperLink.ts'
import { createStreamOrigins, type StreamOriginService } from '../src/process/fleet/streamOrigins.ts'
import { createStreamRecordStore, type StreamRecordStore } from '../src/process/fleet/streamRecords.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { millisecondsPerSecond } from '../src/process/program/units.ts'

const [streamsPerSecond = 30, seconds = 20, gateways = 10, keepers = 3] = process.argv.slice(2, 6).map(Number)
const bytesPerMebibyte = 1024 * 1024
const settleMs = 500

/** Life of a stream from its first event to the end of the time in which it may be resumed, in milliseconds. */
const streamLifeMs = 5_000

const clock = createSystemClock()
const random = createSeededRandom(1)
const lifecycle = createLifecycle()
const metrics = createMetrics()

async function startKeepers (): Promise<{ readonly addresses: string[], readonly stores: StreamRecordStore[] }> {
  const addresses = await reserveAddresses(keepers)
  const stores: StreamRecordStore[] = []
  for (const address of addresses) {
    const streamRecords = createStreamRecordStore(clock)
    stores.push(streamRecords)
    const router = createInternalRouter({ controlHost: undefined, shareReceiver: undefined, dispatchReceiver: undefined, streamRecords })
    ;(await serveInternalCalls(address, router, lifecycle, metrics))._unsafeUnwrap()
  }
  return { addresses, stores }
}

function startGateways (addresses: readonly string[]): StreamOriginService[] {
  return Array.from({ length: gateways }, () => {
    const view = { streamKeepers: addresses, isPopulated: true, changed: createCondition(clock) }
    const origins = createStreamOrigins({ view, client: createStreamKeeperClient(createInternalClients(lifecycle)), clock, random, logger: createSilentLogger(), metrics })
    lifecycle.run(signal => origins.run(signal))
    return origins
  })
}

async function measureRecords (): Promise<void> {
  const { addresses, stores } = await startKeepers()
  const services = startGateways(addresses)
  await clock.sleep(settleMs)
  const idleBefore = process.cpuUsage()
  await clock.sleep(seconds * millisecondsPerSecond)
  const idle = process.cpuUsage(idleBefore)
  const heapBefore = process.memoryUsage().heapUsed
  const before = process.cpuUsage()
  const streams = streamsPerSecond * seconds
  const startedAt = clock.now()
  for (const index of Array(streams).keys()) {
    const waitMs = startedAt + index * millisecondsPerSecond / streamsPerSecond - clock.now()
    if (waitMs > 1) await clock.sleep(waitMs)
    services[random.below(gateways)]?.record(`${index.toString(16)}-5f2a9c41d07be2a3`, { service: 's', softwareVersion: 'v1' })
  }
  await clock.sleep(settleMs)
  const busy = process.cpuUsage(before)
  const found = [...Array(streams).keys()].filter(index => stores.some(store => store.find(`${index.toString(16)}-5f2a9c41d07be2a3`).kind === 'known')).length
  const microseconds = busy.user + busy.system - idle.user - idle.system
  console.log(`${streamsPerSecond} streams a second, ${gateways} gateways, ${keepers} keepers, ${seconds} s: ${Math.round(microseconds / streams)} microseconds of processor time a stream, both ends and both copies together; ` +
    `${found} of ${streams} recorded; heap ${((process.memoryUsage().heapUsed - heapBefore) / bytesPerMebibyte).toFixed(1)} MB more`)
}

// The share of the ids that get another version under the next shares, summed over the changes within the life of a stream.
function computeAmbiguousShare (servers: number, replaced: number, intervalMs: number): number {
  const changes = Math.min(replaced, Math.ceil(streamLifeMs / intervalMs))
  return changes / servers
}

await measureRecords()
for (const [servers, replaced, intervalMs] of [[6, 3, 400], [6, 5, 100], [112, 52, 230]] as const) {
  console.log(`version from the id: ${replaced} of ${servers} servers replaced, one each ${intervalMs} ms: ${(100 * computeAmbiguousShare(servers, replaced, intervalMs)).toFixed(0)} in 100 streams have an id of more than one version`)
}
await lifecycle.close()
process.exit(0)
