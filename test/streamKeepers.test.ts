import { expect } from 'chai'
import type { StreamKeeperClient } from '../src/connection/streamKeeperLink.ts'
import { listRecordKeepers } from '../src/process/fleet/streamKeepers.ts'
import { createStreamOrigins, type StreamOriginService } from '../src/process/fleet/streamOrigins.ts'
import { OriginLookupKind } from '../src/process/fleet/streamRecords.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { Counter, createMetrics, type Metrics } from '../src/process/program/metrics.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { eventually } from '../scripts/processes.ts'
import { FakeStreamKeepers } from './support/fakeFleet.ts'

const origin = { service: 's', softwareVersion: 'v1' }
const keepers = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1', '10.0.0.5:1']
const [firstHolder = '', secondHolder = ''] = listRecordKeepers('q', keepers)

describe('streams and the hosts that keep their records', () => {
  let controller: AbortController
  let hosts: FakeStreamKeepers
  beforeEach(() => {
    controller = new AbortController()
    hosts = new FakeStreamKeepers(keepers)
  })
  afterEach(() => controller.abort())

  function startGateway (client: StreamKeeperClient = hosts): { readonly origins: StreamOriginService, readonly metrics: Metrics } {
    const view = { streamKeepers: keepers, isPopulated: true, changed: createCondition() }
    const metrics = createMetrics()
    const origins = createStreamOrigins({ view, client, clock: createSystemClock(), random: createSeededRandom(1), metrics })
    origins.run(controller.signal).catch(error => expect.fail(String(error)))
    return { origins, metrics }
  }

  function findAt (address: string, id: string): OriginLookupKind | undefined {
    return hosts.stores.get(address)?.find(id).kind
  }

  async function waitForKind (addresses: readonly string[], id: string, kind: OriginLookupKind): Promise<void> {
    await eventually(`${id} ${kind} at ${addresses.join()}`, 4_000, async () => addresses.every(address => findAt(address, id) === kind) ? true : undefined)
  }

  // Failure it guards against: hosts that restarted at their addresses got no record of running streams again, so their callers lost them.
  it('sends records again to hosts that have restarted at their addresses', async () => {
    const { origins } = startGateway()
    origins.record('q', origin)
    await waitForKind([firstHolder, secondHolder], 'q', OriginLookupKind.Known)
    for (const address of keepers) hosts.restart(address)
    await waitForKind([firstHolder, secondHolder], 'q', OriginLookupKind.Known)
    expect(keepers.filter(address => findAt(address, 'q') === OriginLookupKind.Known)).to.have.length(2)
  })

  // Failure it guards against: records of a failed call were lost although the host was back soon.
  it('sends the records of a failed call again', async () => {
    const { origins, metrics } = startGateway()
    hosts.lost.add(firstHolder)
    origins.record('q', origin)
    await eventually('a failed call', 2_000, async () => metrics.read(Counter.StreamRecords, 'failed') > 0 ? true : undefined)
    hosts.lost.delete(firstHolder)
    await waitForKind([firstHolder], 'q', OriginLookupKind.Known)
  })
})
