import { expect } from 'chai'
import { ok, type Result } from 'neverthrow'
import type { AddressInfo } from 'node:net'
import { serveInternalCalls } from '../src/connection/callServer.ts'
import { createInternalClients } from '../src/connection/internalClient.ts'
import { createInternalRouter } from '../src/connection/internalRouter.ts'
import { createStreamKeeperClient, createStreamRecordQueue, type StreamKeeperClient } from '../src/connection/streamKeeperLink.ts'
import { listLookupKeepers, listRecordKeepers } from '../src/process/fleet/streamKeepers.ts'
import { createStreamOrigins, MissingOriginReason, type StreamOriginService } from '../src/process/fleet/streamOrigins.ts'
import { createStreamRecordStore, noSoftwareVersion, type OriginLookup, OriginLookupKind, type StreamRecordStore } from '../src/process/fleet/streamRecords.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createCondition } from '../src/process/program/condition.ts'
import type { Failure } from '../src/process/program/failure.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { Counter, createMetrics, type Metrics } from '../src/process/program/metrics.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import { eventually } from '../scripts/processes.ts'
import { FakeClock } from './support/fakeClock.ts'
import { FakeStreamKeepers, forwardingServicesOf, RecordedResponse, requestOf, routeOf, ScriptedServers } from './support/fakeFleet.ts'

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
    const origins = createStreamOrigins({ view, client, clock: createSystemClock(), random: createSeededRandom(1), logger: createSilentLogger(), metrics })
    origins.run(controller.signal).catch(error => expect.fail(String(error)))
    return { origins, metrics }
  }

  function findAt (address: string, id: string): OriginLookupKind | undefined {
    return hosts.stores.get(address)?.find(id).kind
  }

  async function waitForKind (addresses: readonly string[], id: string, kind: OriginLookupKind): Promise<void> {
    await eventually(`${id} ${kind} at ${addresses.join()}`, 4_000, async () => addresses.every(address => findAt(address, id) === kind) ? true : undefined)
  }

  // Calls a host as usual, unless the test replaces the look-up.
  function clientOf (find: StreamKeeperClient['find']): StreamKeeperClient {
    return { record: async (address, records) => await hosts.record(address, records), find }
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

  // Failure it guards against: as above, over real connections, which break when the host ends.
  it('sends records again over a new connection to a host that has restarted', async () => {
    const gatewayLifecycle = createLifecycle()
    const metrics = createMetrics()
    async function startHost (address: string): Promise<{ readonly address: string, readonly store: StreamRecordStore, readonly lifecycle: Lifecycle }> {
      const lifecycle = createLifecycle()
      const store = createStreamRecordStore(createSystemClock())
      const router = createInternalRouter({ controlHost: undefined, shareReceiver: undefined, dispatchReceiver: undefined, streamRecords: store })
      const server = (await serveInternalCalls(address, router, lifecycle, metrics))._unsafeUnwrap()
      return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, store, lifecycle }
    }
    const first = await startHost('127.0.0.1:0')
    const view = { streamKeepers: [first.address], isPopulated: true, changed: createCondition() }
    const client = createStreamKeeperClient(createInternalClients(gatewayLifecycle))
    const origins = createStreamOrigins({ view, client, clock: createSystemClock(), random: createSeededRandom(1), logger: createSilentLogger(), metrics })
    origins.run(controller.signal).catch(error => expect.fail(String(error)))
    origins.record('q', origin)
    await eventually('the record', 4_000, async () => first.store.find('q').kind === OriginLookupKind.Known ? true : undefined)
    await first.lifecycle.close()
    const second = await startHost(first.address)
    await eventually('the record at the next start', 6_000, async () => second.store.find('q').kind === OriginLookupKind.Known ? true : undefined)
    controller.abort()
    await gatewayLifecycle.close()
    await second.lifecycle.close()
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

  // Failure it guards against: the host that answered first hid from a take-up that another one knows of contradicting records.
  for (const [name, softwareVersions] of [['contradicting records', ['v1', 'v2']], ['another version', ['v2']], ['a revocation', ['']]] as const) {
    it(`believes ${name} that the second host reports after the first one`, async () => {
      hosts.stores.get(firstHolder)?.record({ id: 'q', ...origin })
      for (const softwareVersion of softwareVersions) hosts.stores.get(secondHolder)?.record({ id: 'q', service: 's', softwareVersion })
      let firstAnswer: Promise<Result<OriginLookup, Failure>> | undefined
      const { origins } = startGateway(clientOf(async (address, id) => {
        if (address === secondHolder) await firstAnswer
        const answer = hosts.find(address, id)
        if (address === firstHolder) firstAnswer = answer
        return await answer
      }))
      expect(await origins.find('q')).to.deep.equal({ origin: undefined, reason: MissingOriginReason.Conflicting })
    })
  }

  // Failure it guards against: a take-up waited for hosts that are lost although another one had the record.
  it('waits only briefly for the other hosts once one has the record', async () => {
    hosts.stores.get(firstHolder)?.record({ id: 'q', ...origin })
    const { origins } = startGateway(clientOf(async (address, id) => address === firstHolder ? await hosts.find(address, id) : await new Promise(() => {})))
    expect((await origins.find('q')).origin).to.deep.equal(origin)
  })

  // Failure it guards against: a host that missed the only call with a revocation kept naming the revoked origin.
  it('sends a revocation until all hosts that are asked have it', async () => {
    const { origins, metrics } = startGateway()
    origins.record('q', origin)
    await waitForKind([firstHolder, secondHolder], 'q', OriginLookupKind.Known)
    hosts.lost.add(firstHolder)
    origins.revoke('q')
    await eventually('a failed call', 2_000, async () => metrics.read(Counter.StreamRecords, 'failed') > 0 ? true : undefined)
    hosts.lost.delete(firstHolder)
    await waitForKind(listLookupKeepers('q', keepers), 'q', OriginLookupKind.Conflicting)
  })

  // Failure it guards against: with many streams, a revocation was the oldest queued record, and dropped.
  it('keeps a revocation in a queue that is full or outdated', async () => {
    const clock = new FakeClock()
    const metrics = createMetrics()
    const queue = createStreamRecordQueue(clock, metrics)
    const revocation = { id: 'q', service: 's', softwareVersion: noSoftwareVersion }
    queue.add(revocation)
    for (let number = 0; number < 1_001; number++) queue.add({ id: `q-${number}`, ...origin })
    expect(metrics.read(Counter.StreamRecords, 'dropped')).to.equal(2)
    await clock.advance(2_001)
    expect(queue.take()).to.deep.equal([revocation])
  })

  // Failure it guards against: a host of the previous build, whose answers name no start, was sent all records again and again.
  it('sends records once to a host that does not name the start of its store', async () => {
    const sent: string[] = []
    const { origins } = startGateway({
      find: async (address, id) => await hosts.find(address, id),
      async record (address, records) {
        if (address === firstHolder) sent.push(...records.map(({ id }) => id))
        return (await hosts.record(address, records)).map(({ count }) => ({ count }))
      }
    })
    origins.record('q', origin)
    await waitForKind([firstHolder], 'q', OriginLookupKind.Known)
    origins.record('q', origin)
    await eventually('the second record', 2_000, async () => sent.length === 2 ? true : undefined)
    origins.revoke('q')
    await waitForKind([firstHolder], 'q', OriginLookupKind.Conflicting)
    expect(sent).to.deep.equal(['q', 'q', 'q'])
  })

  // Failure it guards against: a host of the previous build that has only a revocation named an origin with an empty version.
  it('takes an origin without a version for a conflict', async () => {
    const lifecycle = createLifecycle()
    const store = createStreamRecordStore(createSystemClock())
    const streamRecords: StreamRecordStore = { ...store, find: () => ({ kind: OriginLookupKind.Known, origin: { service: 's', softwareVersion: noSoftwareVersion } }) }
    const router = createInternalRouter({ controlHost: undefined, shareReceiver: undefined, dispatchReceiver: undefined, streamRecords })
    const server = (await serveInternalCalls('127.0.0.1:0', router, lifecycle, createMetrics()))._unsafeUnwrap()
    const client = createStreamKeeperClient(createInternalClients(lifecycle))
    const found = await client.find(`127.0.0.1:${(server.address() as AddressInfo).port}`, 'q')
    await lifecycle.close()
    expect(found._unsafeUnwrap().kind).to.equal(OriginLookupKind.Conflicting)
  })

  // Failure it guards against: a take-up that overtook the record of its stream was refused for good.
  it('looks up once more when the record arrives after the first look-up', async () => {
    let calls = 0
    const { origins } = startGateway(clientOf(async (address, id) => {
      const answer = await hosts.find(address, id)
      if (++calls === 3) hosts.stores.get(secondHolder)?.record({ id: 'q', ...origin })
      return answer
    }))
    expect((await origins.find('q')).origin).to.deep.equal(origin)
    expect(calls).to.equal(6)
    calls = 3
    expect((await origins.find('q-2')).reason).to.equal(MissingOriginReason.Unknown)
    expect(calls).to.equal(9)
  })

  // Failure it guards against: a look-up went on after the deadline of the caller, or after the caller had left.
  it('ends a look-up at the deadline of the caller and when the caller leaves', async () => {
    const { origins } = startGateway(clientOf(async () => await new Promise(() => {})))
    expect((await origins.find('q', { deadlineAt: performance.now() + 30 })).reason).to.equal(MissingOriginReason.TimedOut)
    const leaving = new AbortController()
    const found = origins.find('q', { deadlineAt: Infinity, signal: leaving.signal })
    leaving.abort()
    expect((await found).reason).to.equal(MissingOriginReason.TimedOut)
    const servers = new ScriptedServers([])
    for (const isDisconnected of [false, true]) {
      const client = clientOf(async () => await new Promise(() => {}))
      const services = forwardingServicesOf(servers, [routeOf()], { streamKeepers: keepers }, client)
      services.origins.run(controller.signal).catch(error => expect.fail(String(error)))
      const answer = new RecordedResponse()
      const { request, disconnect } = requestOf({ id: 'q-2', resumes: 'q', resumeAfter: 0, deadlineAt: performance.now() + (isDisconnected ? 60_000 : 30) })
      const forwarded = runForwardedRequest(request, answer, services)
      if (isDisconnected) disconnect()
      await forwarded
      if (!isDisconnected) expect(answer.refusal).to.equal(GatewayRefusal.UnknownStream)
    }
  }).timeout(5_000)

  // Failure it guards against: the record of another stream with the same id hid the records of the stream that is taken up.
  it('does not believe its own record when a host contradicts it', async () => {
    for (const address of [firstHolder, secondHolder]) hosts.stores.get(address)?.record({ id: 'q', service: 's', softwareVersion: 'v2' })
    const { origins } = startGateway({ record: async () => ok({ count: 0 }), find: async (address, id) => await hosts.find(address, id) })
    origins.record('q', origin)
    expect((await origins.find('q')).reason).to.equal(MissingOriginReason.Conflicting)
  })

  // Failure it guards against: an unexpected error in a look-up closed the connection of the caller instead of refusing the request.
  it('takes a look-up that ends with an unexpected error for one without an answer, and reports it', async () => {
    const { origins, metrics } = startGateway(clientOf(async () => { throw new TypeError('unexpected') }))
    expect((await origins.find('q')).reason).to.equal(MissingOriginReason.TimedOut)
    expect(metrics.read(Counter.UnexpectedErrors, 'caller request')).to.equal(3)
  })

  // Failure it guards against: an unexpected error in the task of a host went by unreported, as an unhandled rejection of the process.
  it('reports an unexpected error in the task of a host, and starts the task again', async () => {
    let isBroken = true
    const { origins, metrics } = startGateway({
      find: async (address, id) => await hosts.find(address, id),
      async record (address, records) {
        if (address === firstHolder && isBroken) throw new TypeError('unexpected')
        return await hosts.record(address, records)
      }
    })
    await eventually('a report', 2_000, async () => metrics.read(Counter.UnexpectedErrors, 'background task') > 0 ? true : undefined)
    origins.record('q', origin)
    isBroken = false
    await waitForKind([firstHolder], 'q', OriginLookupKind.Known)
  })
})
