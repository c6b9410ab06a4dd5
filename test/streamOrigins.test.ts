import { expect } from 'chai'
import type { AddressInfo } from 'node:net'
import { serveInternalCalls } from '../src/connection/callServer.ts'
import { createInternalClients, TrafficClass } from '../src/connection/internalClient.ts'
import { createInternalRouter } from '../src/connection/internalRouter.ts'
import { createStreamKeeperClient, createStreamRecordQueue, runStreamRecords, type StreamKeeperClient } from '../src/connection/streamKeeperLink.ts'
import type { FleetHost } from '../src/process/fleet/fleetMessages.ts'
import { createFleetView } from '../src/process/fleet/fleetView.ts'
import { listLookupKeepers, listRecordKeepers, selectStreamKeepers } from '../src/process/fleet/streamKeepers.ts'
import { createStreamOrigins, MissingOriginReason, type StreamOriginService } from '../src/process/fleet/streamOrigins.ts'
import { createStreamRecordStore, noSoftwareVersion, OriginLookupKind } from '../src/process/fleet/streamRecords.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { FailureReason, Step } from '../src/process/program/failure.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { Counter, createMetrics, type Metrics } from '../src/process/program/metrics.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { eventually } from '../scripts/processes.ts'
import { FakeClock } from './support/fakeClock.ts'
import { FakeStreamKeepers, fleetUpdateOf } from './support/fakeFleet.ts'

const origin = { service: 's', softwareVersion: 'v1' }
const keepers = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1', '10.0.0.5:1']

function executorOf (name: string, availabilityZone: string, overrides: Partial<FleetHost> = {}): FleetHost {
  return { name, holder: name, role: 'executor', availabilityZone, region: 'r1', callerAddress: undefined, internalAddress: `${name}:1`, ready: false, ...overrides }
}

describe('store of stream records', () => {
  // Failure it guards against: one of two records that contradict each other was believed.
  it('reports records of several origins under one id as conflicting, and keeps doing so', () => {
    for (const other of [{ service: 's', softwareVersion: 'v2' }, { service: 't', softwareVersion: 'v1' }]) {
      const store = createStreamRecordStore(new FakeClock())
      store.record({ id: 'q', ...origin })
      store.record({ id: 'q', ...origin })
      expect(store.find('q')).to.deep.equal({ kind: OriginLookupKind.Known, origin })
      store.record({ id: 'q', ...other })
      store.record({ id: 'q', ...other })
      expect(store.find('q').kind).to.equal(OriginLookupKind.Conflicting)
      expect(store.listRecent(1_000)).to.deep.equal([{ id: 'q', service: other.service, softwareVersion: noSoftwareVersion }])
    }
  })

  // Failure it guards against: memory that grows with each stream.
  it('discards the oldest records beyond its capacity and its retention time', async () => {
    const clock = new FakeClock()
    const store = createStreamRecordStore(clock, 2, 100)
    for (const id of ['a', 'b', 'c']) store.record({ id, ...origin })
    expect(['a', 'b', 'c'].map(id => store.find(id).kind)).to.deep.equal(['unknown', 'known', 'known'])
    await clock.advance(101)
    expect(store.find('c').kind).to.equal(OriginLookupKind.Unknown)
  })
})

describe('choice of the hosts that keep stream records', () => {
  // Failure it guards against: a look-up that asks other hosts than those that have the record, after one host joined or left.
  it('asks a host that has the record after one host was added or removed', () => {
    for (let number = 0; number < 500; number++) {
      const id = `q-${number}`
      const holders = listRecordKeepers(id, keepers)
      expect(new Set(holders).size).to.equal(2)
      expect(listLookupKeepers(id, [...keepers, '10.0.0.6:1'].reverse())).to.include.members(holders)
      for (const removed of keepers) {
        const asked = listLookupKeepers(id, keepers.filter(keeper => keeper !== removed))
        expect(holders.some(holder => asked.includes(holder))).to.equal(true)
      }
    }
  })

  // Failure it guards against: all records in one availability zone, or at hosts that do not serve the calls.
  it('selects executors that serve calls, spread over the availability zones', () => {
    const zones = Array.from({ length: 6 }, (_, index) => [executorOf(`a${index}`, 'z1'), executorOf(`b${index}`, 'z2'), executorOf(`c${index}`, 'z3')]).flat()
    const others = [executorOf('old', 'z4', { internalAddress: undefined }), executorOf('gateway', 'z4', { role: 'gateway' }), executorOf('control', 'z4', { role: 'control' })]
    const selected = selectStreamKeepers([...zones, ...others])
    expect(selected).to.have.length(8)
    expect(['a', 'b', 'c'].map(zone => selected.filter(address => address.startsWith(zone)).length)).to.deep.equal([3, 3, 2])
    expect(selectStreamKeepers([...others, ...zones.reverse()])).to.deep.equal(selected)
    expect(selectStreamKeepers(others)).to.deep.equal([])
  })
})

describe('hosts that keep stream records, in the view of a gateway', () => {
  // Failure it guards against: after each change of leader, records moved to the control hosts and back, and were not found meanwhile.
  it('are those that the leader names, and stay in use until a new leader knows the hosts', () => {
    const view = createFleetView(new FakeClock(), createSilentLogger(), () => ['10.0.0.9:1'])
    view.applyUpdate(fleetUpdateOf({ isComplete: false, controlHosts: ['10.0.0.8:1'] }))
    expect(view.streamKeepers).to.deep.equal([])
    // Those that a new leader knows so far are better than none.
    view.applyUpdate(fleetUpdateOf({ isComplete: false, streamKeepers: ['10.0.0.1:1'] }))
    expect([view.streamKeepers, view.isPopulated]).to.deep.equal([['10.0.0.1:1'], false])
    view.applyUpdate(fleetUpdateOf({ streamKeepers: keepers, controlHosts: ['10.0.0.8:1'] }))
    expect([view.streamKeepers, view.isPopulated]).to.deep.equal([keepers, true])
    for (const streamKeepers of [undefined, ['10.0.0.1:1']]) {
      view.applyUpdate(fleetUpdateOf({ leadership: 'b/2', isComplete: false, controlHosts: ['10.0.0.8:1'], streamKeepers }))
      expect([view.streamKeepers, view.isPopulated]).to.deep.equal([keepers, true])
    }
  })

  // Failure it guards against: a leader of an earlier version of the program, which names none, left the gateways without any.
  it('are the control hosts when the leader is of an earlier version', () => {
    const view = createFleetView(new FakeClock(), createSilentLogger(), () => [])
    view.applyUpdate(fleetUpdateOf({ controlHosts: ['10.0.0.8:1'] }))
    expect(view.streamKeepers).to.deep.equal(['10.0.0.8:1'])
  })
})

describe('origins of streams', () => {
  let controller: AbortController
  beforeEach(() => { controller = new AbortController() })
  afterEach(() => controller.abort())

  interface Gateway {
    readonly origins: StreamOriginService
    readonly view: { streamKeepers: readonly string[] }
    readonly metrics: Metrics
    applyKeepers (streamKeepers: readonly string[]): void
  }

  function startGateway (client: StreamKeeperClient, streamKeepers: readonly string[] = keepers, isPopulated = true): Gateway {
    const view = { streamKeepers, isPopulated, changed: createCondition() }
    const metrics = createMetrics()
    const origins = createStreamOrigins({ view, client, clock: createSystemClock(), random: createSeededRandom(1), logger: createSilentLogger(), metrics })
    origins.run(controller.signal).catch(error => expect.fail(String(error)))
    return {
      origins,
      view,
      metrics,
      applyKeepers (current) {
        view.streamKeepers = current
        view.changed.notify()
      }
    }
  }

  async function waitForCopies (hosts: FakeStreamKeepers, id: string, count: number): Promise<string[]> {
    return await eventually(`${count} copies of ${id}`, 2_000, async () => {
      const holders = [...hosts.stores].filter(([, store]) => store.find(id).kind === OriginLookupKind.Known).map(([address]) => address)
      return holders.length === count ? holders : undefined
    })
  }

  // Failure it guards against: with one of the hosts that keep a record lost or silent, no gateway found it.
  for (const [name, fail] of [
    ['lost', (hosts: FakeStreamKeepers, address: string) => hosts.lost.add(address)],
    ['silent', (hosts: FakeStreamKeepers, address: string) => hosts.silent.add(address)],
    ['restarted without records', (hosts: FakeStreamKeepers, address: string) => hosts.restart(address)]
  ] as const) {
    it(`are found by another gateway while a host with the record is ${name}`, async () => {
      const hosts = new FakeStreamKeepers(keepers)
      const gateway = startGateway(hosts)
      gateway.origins.record('q-1', origin)
      const holders = await waitForCopies(hosts, 'q-1', 2)
      fail(hosts, holders[0] ?? '')
      const other = startGateway(hosts)
      expect((await other.origins.find('q-1')).origin).to.deep.equal(origin)
      expect(other.metrics.read(Counter.StreamLookups, 'found')).to.equal(1)
      expect(gateway.metrics.read(Counter.StreamRecords, 'sent')).to.equal(2)
    })
  }

  // Failure it guards against: an answer that was guessed when no record was found.
  it('are not found without a record, with conflicting records, without an answer, and before the hosts are known', async () => {
    const hosts = new FakeStreamKeepers(keepers)
    const gateway = startGateway(hosts)
    expect(await gateway.origins.find('q')).to.deep.equal({ origin: undefined, reason: MissingOriginReason.Unknown })
    for (const address of listRecordKeepers('q', keepers)) {
      for (const softwareVersion of ['v1', 'v2']) hosts.stores.get(address)?.record({ id: 'q', service: 's', softwareVersion })
    }
    expect(await gateway.origins.find('q')).to.deep.equal({ origin: undefined, reason: MissingOriginReason.Conflicting })
    for (const address of keepers) hosts.lost.add(address)
    expect(await gateway.origins.find('q-2')).to.deep.equal({ origin: undefined, reason: MissingOriginReason.TimedOut })
    expect(await startGateway(hosts, [], false).origins.find('q')).to.deep.equal({ origin: undefined, reason: MissingOriginReason.UnknownKeepers })
    for (const reason of [MissingOriginReason.Unknown, MissingOriginReason.Conflicting, MissingOriginReason.TimedOut]) expect(gateway.metrics.read(Counter.StreamLookups, reason)).to.equal(1)
  })

  // Failure it guards against: for the seconds in which a new leader waits for all hosts, a gateway that had just started found no record.
  it('are looked up at all hosts that the leader knows so far, until it knows all', async () => {
    const hosts = new FakeStreamKeepers(keepers)
    startGateway(hosts).origins.record('q', origin)
    const [first = '', second = ''] = await waitForCopies(hosts, 'q', 2)
    const gateway = startGateway(hosts, keepers.filter(keeper => keeper !== first), false)
    expect((await gateway.origins.find('q')).origin).to.deep.equal(origin)
    hosts.lost.add(second)
    expect((await gateway.origins.find('q')).reason).to.equal(MissingOriginReason.UnknownKeepers)
  })

  // Failure it guards against: a stream whose server turned out to run another version was continued from the record at another gateway.
  it('are not found any more at any gateway once they were revoked', async () => {
    const hosts = new FakeStreamKeepers(keepers)
    const gateway = startGateway(hosts)
    gateway.origins.record('q', origin)
    await waitForCopies(hosts, 'q', 2)
    gateway.origins.revoke('q')
    expect((await gateway.origins.find('q')).reason).to.equal(MissingOriginReason.Conflicting)
    await waitForCopies(hosts, 'q', 0)
    expect((await startGateway(hosts).origins.find('q')).reason).to.equal(MissingOriginReason.Conflicting)
  })

  // Failure it guards against: records of running streams were lost when the hosts that keep them changed, or were not known yet.
  it('are sent to the hosts that keep them now', async () => {
    const hosts = new FakeStreamKeepers([...keepers, '10.0.1.1:1', '10.0.1.2:1'])
    const gateway = startGateway(hosts, [])
    gateway.origins.record('q', origin)
    gateway.applyKeepers(keepers)
    await waitForCopies(hosts, 'q', 2)
    gateway.applyKeepers(['10.0.1.1:1', '10.0.1.2:1'])
    await waitForCopies(hosts, 'q', 4)
  })
})

describe('sending of stream records', () => {
  // Failure it guards against: a host that is slow or lost delayed streams, or records without end waited for it.
  it('sends what has queued up during a call in the next one, and drops the oldest and outdated ones', async () => {
    const clock = new FakeClock()
    const metrics = createMetrics()
    const queue = createStreamRecordQueue(clock, metrics)
    const batches: number[] = []
    let isLost = false
    const hosts = new FakeStreamKeepers(['k'])
    const client: StreamKeeperClient = {
      find: async (address, id) => await hosts.find(address, id),
      async record (address, records) {
        batches.push(records.length)
        await clock.sleep(100)
        if (isLost) hosts.lost.add(address)
        return await hosts.record(address, records)
      }
    }
    const controller = new AbortController()
    const task = runStreamRecords({ address: 'k', queue, listRecent: () => [], client, clock, random: createSeededRandom(1), metrics }, controller.signal)
    for (let number = 0; number < 1_003; number++) queue.add({ id: `q-${number}`, ...origin })
    expect(metrics.read(Counter.StreamRecords, 'dropped')).to.equal(3)
    const settle = async (): Promise<unknown> => await new Promise(resolve => setTimeout(resolve, 10))
    await clock.advance(100)
    await settle()
    await clock.advance(100)
    await settle()
    expect(batches).to.deep.equal([0, 1_000])
    expect(metrics.read(Counter.StreamRecords, 'sent')).to.equal(1_000)
    isLost = true
    queue.add({ id: 'late', ...origin })
    await clock.advance(100)
    await settle()
    expect(metrics.read(Counter.StreamRecords, 'failed')).to.equal(1)
    queue.add({ id: 'outdated', ...origin })
    controller.abort()
    await clock.advance(2_001)
    expect(queue.take()).to.deep.equal([])
    expect(metrics.read(Counter.StreamRecords, 'dropped')).to.equal(4)
    await task
  })

  // Failure it guards against: records that a host of this version does not understand, or a malformed one that it stores.
  it('reaches a host over a connection, and fails at a host without the role or with a malformed record', async () => {
    const lifecycle = createLifecycle()
    const metrics = createMetrics()
    const roles = { controlHost: undefined, shareReceiver: undefined, dispatchReceiver: undefined }
    const store = createStreamRecordStore(createSystemClock())
    const addresses: string[] = []
    for (const router of [createInternalRouter({ ...roles, streamRecords: store }), createInternalRouter(roles)]) {
      const server = (await serveInternalCalls('127.0.0.1:0', router, lifecycle, metrics))._unsafeUnwrap()
      addresses.push(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    }
    const [keeper = '', other = ''] = addresses
    const clients = createInternalClients(lifecycle)
    const client = createStreamKeeperClient(clients)
    expect((await client.record(keeper, [{ id: 'q', ...origin }]))._unsafeUnwrap()).to.deep.equal({ count: 1, start: store.start })
    expect((await client.find(keeper, 'q'))._unsafeUnwrap()).to.deep.equal({ kind: OriginLookupKind.Known, origin })
    expect((await client.find(keeper, 'q-2'))._unsafeUnwrap()).to.deep.equal({ kind: OriginLookupKind.Unknown })
    store.record({ id: 'q', service: 's', softwareVersion: 'v2' })
    expect((await client.find(keeper, 'q'))._unsafeUnwrap()).to.deep.equal({ kind: OriginLookupKind.Conflicting })
    expect((await client.find(other, 'q'))._unsafeUnwrapErr().reason).to.equal(FailureReason.NotFound)
    const malformed = [{ id: 'm', service: 's', softwareVersion: 2 }] as unknown as Parameters<StreamKeeperClient['record']>[1]
    expect((await client.record(keeper, malformed)).isErr()).to.equal(true)
    expect(store.find('m').kind).to.equal(OriginLookupKind.Unknown)
    const unknown = await clients.call(keeper, TrafficClass.Live, Step.FindStreams, 500, async (hosts, signal) => await (hosts as unknown as { streams: { later: { mutate: (input: object, options: object) => Promise<unknown> } } }).streams.later.mutate({}, { signal }))
    expect(unknown.isErr()).to.equal(true)
    await lifecycle.close()
  })
})
