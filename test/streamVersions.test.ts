import { expect } from 'chai'
import { setTimeout as sleep } from 'node:timers/promises'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import { type GatewayRoute, RouteKind } from '../src/version/gatewayTables.ts'
import { type BackendServerRecord, ServerPhase } from '../src/process/fleet/backendServerRegistry.ts'
import type { FleetUpdate } from '../src/process/fleet/fleetMessages.ts'
import { MissingOriginReason } from '../src/process/fleet/streamOrigins.ts'
import { listRecordKeepers } from '../src/process/fleet/streamKeepers.ts'
import { OriginLookupKind } from '../src/process/fleet/streamRecords.ts'
import { Counter } from '../src/process/program/metrics.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import { ResumptionRefusal } from '../src/request/streamContinuation.ts'
import { eventually } from '../scripts/processes.ts'
import { FakeStreamKeepers, fleetUpdateOf, forwardingServicesOf, RecordedResponse, recordOf, requestOf, routeOf, type Script, ScriptedServers, ScriptGate } from './support/fakeFleet.ts'

const firstEvent = 'id: 0\ndata: a\n\n'
const secondEvent = 'id: 1\ndata: b\n\n'

const oldServer = recordOf('i-1')
const newServer = recordOf('i-2', { softwareVersion: 'v2' })
const breakAfterFirstEvent: Script = { does: 'answer', pieces: [firstEvent], then: 'break' }
const answerRest: Script = { does: 'answer', pieces: [secondEvent] }

interface Exchange {
  readonly answer: RecordedResponse
  readonly servers: ScriptedServers
}

async function forward (scripts: readonly Script[], records: readonly BackendServerRecord[], route: Partial<GatewayRoute> = {}, overrides: Parameters<typeof requestOf>[0] = {}): Promise<Exchange> {
  const servers = new ScriptedServers(scripts)
  const answer = new RecordedResponse()
  await runForwardedRequest(requestOf(overrides).request, answer, forwardingServicesOf(servers, [routeOf(route)], { servers: records }))
  return { answer, servers }
}

interface Gateway {
  readonly services: ReturnType<typeof forwardingServicesOf>
  readonly servers: ScriptedServers
  forward (overrides?: Parameters<typeof requestOf>[0]): Promise<RecordedResponse>
}

let stops: Array<() => void> = []

function stopGateways (): void {
  for (const stop of stops) stop()
  stops = []
}

// Starts a gateway that knows the servers, and all hosts that keep records.
function startGateway (scripts: readonly Script[], records: readonly BackendServerRecord[], hosts: FakeStreamKeepers, route: Partial<GatewayRoute> = {}, update: Partial<FleetUpdate> = {}): Gateway {
  const servers = new ScriptedServers(scripts)
  const services = forwardingServicesOf(servers, [routeOf(route)], { servers: records, streamKeepers: [...hosts.stores.keys()], ...update }, hosts)
  const controller = new AbortController()
  stops.push(() => controller.abort())
  services.origins.run(controller.signal).catch(error => expect.fail(String(error)))
  return {
    services,
    servers,
    async forward (overrides) {
      const answer = new RecordedResponse()
      await runForwardedRequest(requestOf(overrides).request, answer, services)
      return answer
    }
  }
}

function listVersions ({ arrivals }: ScriptedServers, records: readonly BackendServerRecord[]): Array<string | undefined> {
  return arrivals.map(({ server }) => records.find(({ id }) => id === server)?.softwareVersion)
}

describe('software versions of a stream', () => {
  afterEach(stopGateways)

  // Failure (ORDER on deploy/days/skewed): a stream that broke went on at a server of another software version, within one response.
  it('continues a stream only at servers of the version that began it', async () => {
    const records = [oldServer, newServer, recordOf('i-3', { softwareVersion: 'v2' }), recordOf('i-4', { softwareVersion: 'v2' })]
    for (let round = 0; round < 10; round++) {
      const { answer, servers } = await forward([breakAfterFirstEvent, answerRest], records)
      const [first, second] = listVersions(servers, records)
      expect(second).to.equal(first)
      expect(answer).to.include({ text: firstEvent + secondEvent, isComplete: true })
    }
  })

  // Failure: with no server of the version left, the stream went on at another version. Waiting for one would only delay the caller's next attempt.
  it('aborts a stream that broke at once when no server of its version is listed', async () => {
    const records = [oldServer, newServer]
    const endGate = new ScriptGate()
    const servers = new ScriptedServers([{ ...breakAfterFirstEvent, endGate }, answerRest])
    const services = forwardingServicesOf(servers, [routeOf({ timeoutMs: 5_000 })], { servers: records })
    const answer = new RecordedResponse()
    const startedAt = performance.now()
    const forwarded = runForwardedRequest(requestOf().request, answer, services)
    await endGate.reached
    const first = records.find(({ id }) => id === servers.arrivals[0]?.server) ?? expect.fail('no request reached a server')
    services.view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [{ ...first, phase: ServerPhase.Gone, revision: 2 }] }))
    endGate.open()
    await forwarded
    expect(servers.arrivals).to.have.length(1)
    expect(answer).to.include({ text: firstEvent, isComplete: false, isAborted: true })
    expect(performance.now() - startedAt).to.be.below(1_000)
  })

  // Failure: two servers of unknown version, each of another one, wrote one stream.
  it('continues no stream at a server of unknown version', async () => {
    const records = [recordOf('i-1', { softwareVersion: undefined }), recordOf('i-2', { softwareVersion: undefined })]
    const { answer, servers } = await forward([breakAfterFirstEvent, answerRest], records)
    expect(servers.arrivals).to.have.length(1)
    expect(answer).to.include({ isComplete: false, isAborted: true })
  })

  // Failure (ORDER on deploy/days/rejoined): after all gateways had restarted, streams were taken up at a server of any version.
  it('refuses a resumption by the caller when nothing tells the version that began the stream', async () => {
    const { answer, servers } = await forward([answerRest], [oldServer, newServer], {}, { resumeAfter: 0 })
    expect(servers.arrivals).to.have.length(0)
    expect(answer.refusal).to.equal('stream not known')
  })

  // Failure: the stream of a repeatable request that is not resumable by its caller was joined from two versions.
  it('continues the stream of a safe request only at servers of the version that began it', async () => {
    const records = [oldServer, newServer]
    for (let round = 0; round < 5; round++) {
      const { servers } = await forward([breakAfterFirstEvent, answerRest], records, { kind: RouteKind.Safe, resumable: false })
      const [first, second] = listVersions(servers, records)
      expect(second).to.equal(first)
    }
  })

  // Failure: the end of a stream without framing was confirmed by a server of another version, which may have something to add.
  it('lets only servers of its version confirm the end of a stream without framing', async () => {
    const records = [oldServer, newServer, recordOf('i-3')]
    for (let round = 0; round < 10; round++) {
      const { answer, servers } = await forward([{ does: 'answer', pieces: [firstEvent], unframed: true }, { does: 'answer', pieces: [] }], records, { attempts: 3 })
      const [first, second] = listVersions(servers, records)
      expect(second).to.equal(first)
      expect(answer).to.include({ text: firstEvent, isComplete: true })
    }
  })

  // Failure it guards against: a stream without framing was announced as one whose end is confirmed, and cut since no server may confirm it.
  it('passes on a stream without framing from a server of unknown version as one whose end is uncertain', async () => {
    const records = [recordOf('i-1', { softwareVersion: undefined }), recordOf('i-2', { softwareVersion: undefined })]
    const { answer, servers } = await forward([{ does: 'answer', pieces: [firstEvent], unframed: true }, answerRest], records, { attempts: 3 })
    expect(answer).to.include({ text: firstEvent, isEndCertain: false, isComplete: true })
    expect(servers.arrivals).to.have.length(1)
  })

  // Failure it guards against: a server that restarted under its id with another version was taken for the one that began the stream.
  it('continues no stream that began at a server found to run another version', async () => {
    const hosts = new FakeStreamKeepers(['k-1', 'k-2'])
    const pieceGate = new ScriptGate()
    const gateway = startGateway([{ does: 'answer', pieces: [firstEvent, secondEvent], pieceGate, then: 'break' }, answerRest], [oldServer], hosts)
    const forwarded = gateway.forward()
    await pieceGate.reached
    gateway.services.view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [{ ...oldServer, startedAt: 2, softwareVersion: 'v2', revision: 2 }, recordOf('i-2')] }))
    pieceGate.open()
    const answer = await forwarded
    expect(gateway.servers.arrivals).to.have.length(1)
    expect(answer).to.include({ text: firstEvent + secondEvent, isAborted: true })
    expect((await gateway.services.origins.find('q-1')).reason).to.equal(MissingOriginReason.Conflicting)
  })

  // Failure it guards against: events of another version that follow those of the first one, from a server that restarted under its id.
  it('relays nothing of a server found to run another version than the one that began the stream', async () => {
    const records = [oldServer, recordOf('i-2', { startedAt: 1 })]
    const headGate = new ScriptGate()
    const gateway = startGateway([breakAfterFirstEvent, { does: 'answer', pieces: [secondEvent], headGate }], records, new FakeStreamKeepers([]))
    const forwarded = gateway.forward()
    await headGate.reached
    const second = records.find(({ id }) => id === gateway.servers.arrivals[1]?.server) ?? expect.fail('no second attempt')
    gateway.services.view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [{ ...second, startedAt: 2, softwareVersion: 'v2', revision: 2 }] }))
    headGate.open()
    expect(await forwarded).to.include({ text: firstEvent, isComplete: false, isAborted: true })
  })
})

describe('resumption of a stream by its caller', () => {
  const keepers = ['k-1', 'k-2', 'k-3', 'k-4']
  const manyNewServers = Array.from({ length: 6 }, (_, index) => recordOf(`n-${index}`, { softwareVersion: 'v2' }))
  const resumption = { id: 'q-2', resumes: 'q-1', resumeAfter: 0 }
  let hosts: FakeStreamKeepers
  beforeEach(() => { hosts = new FakeStreamKeepers(keepers) })
  afterEach(stopGateways)

  // Brings the first event of stream q-1 from the old version to its caller, and waits for the records of it.
  async function beginStream (copies = 2): Promise<Gateway> {
    const gateway = startGateway([breakAfterFirstEvent], [oldServer], hosts, { attempts: 1 })
    expect(await gateway.forward()).to.include({ text: firstEvent, isAborted: true })
    await eventually('records at the hosts that keep them', 2_000, async () => {
      const holders = [...hosts.stores.values()].filter(store => store.find('q-1').kind === OriginLookupKind.Known)
      return holders.length === copies ? true : undefined
    })
    return gateway
  }

  // Failure (ORDER on deploy/days/rejoined): after all gateways had restarted, the rest of a stream came from another version.
  it('goes to the version that began the stream, at a gateway that has just started, with one host of the record lost', async () => {
    await beginStream()
    const [holder = ''] = listRecordKeepers('q-1', keepers)
    hosts.lost.add(holder)
    const gateway = startGateway([answerRest], [...manyNewServers, oldServer], hosts)
    expect(await gateway.forward(resumption)).to.include({ text: secondEvent, isComplete: true })
    expect(gateway.servers.arrivals.map(({ server }) => server)).to.deep.equal([oldServer.id])
  })

  // Failure it guards against: the gateway that relayed the first events depended on other hosts to continue the stream.
  it('goes to the version that began the stream, at the same gateway without any other host', async () => {
    const gateway = startGateway([breakAfterFirstEvent, answerRest], [oldServer, recordOf('i-9')], new FakeStreamKeepers([]), { attempts: 1 })
    await gateway.forward()
    gateway.services.view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: manyNewServers }))
    expect(await gateway.forward(resumption)).to.include({ text: secondEvent, isComplete: true })
    expect(listVersions(gateway.servers, [oldServer, recordOf('i-9'), ...manyNewServers])).to.deep.equal(['v1', 'v1'])
    expect(gateway.services.metrics.read(Counter.StreamLookups, 'own')).to.equal(1)
  })

  // Failure it guards against: a stream that went on although nothing, or nothing certain, tells the version that began it.
  for (const [name, reason, prepare] of [
    ['both hosts with the record restarted', MissingOriginReason.Unknown, () => { for (const address of keepers) hosts.restart(address) }],
    ['the records conflict', MissingOriginReason.Conflicting, () => { for (const address of listRecordKeepers('q-1', keepers)) hosts.stores.get(address)?.record({ id: 'q-1', service: 's', softwareVersion: 'v2' }) }],
    ['no host answers', MissingOriginReason.TimedOut, () => { for (const address of keepers) hosts.silent.add(address) }]
  ] as const) {
    it(`is refused as not run while ${name}`, async () => {
      await beginStream()
      prepare()
      const gateway = startGateway([answerRest], [oldServer, newServer], hosts)
      const answer = await gateway.forward(resumption)
      expect(answer).to.include({ refusal: GatewayRefusal.UnknownStream, retryAfterMs: undefined })
      expect(gateway.servers.arrivals).to.have.length(0)
      expect(gateway.services.metrics.read(Counter.ResumptionRefusals, reason)).to.equal(1)
      expect(gateway.services.metrics.read(Counter.Refusals, GatewayRefusal.UnknownStream)).to.equal(1)
    })
  }

  // Failure it guards against: a caller that waits for a version of which no server is left, or is told to wait for it.
  it('is refused at once while no server of the version is ready', async () => {
    await beginStream()
    const gateway = startGateway([answerRest], [newServer, recordOf('i-3', { softwareVersion: undefined }), recordOf('i-4', { phase: ServerPhase.Leaving })], hosts, { objectiveMs: 5_000 })
    const startedAt = performance.now()
    expect(await gateway.forward(resumption)).to.include({ refusal: GatewayRefusal.VersionUnavailable, retryAfterMs: undefined })
    expect(performance.now() - startedAt).to.be.below(500)
    expect(gateway.services.metrics.read(Counter.ResumptionRefusals, ResumptionRefusal.NoServer)).to.equal(1)
  })

  // Failure it guards against: callers gave up their streams since a gateway that had just started did not know yet whom to ask.
  it('is refused with a delay while the gateway does not know the hosts that keep records', async () => {
    await beginStream()
    const gateway = startGateway([answerRest], [oldServer], new FakeStreamKeepers([]), {}, { isComplete: false })
    const answer = await gateway.forward(resumption)
    expect(answer.refusal).to.equal(GatewayRefusal.NotReady)
    expect(answer.retryAfterMs).to.be.above(0)
  })

  // Failure it guards against: after a restart of all hosts, servers are listed with their next heartbeat; until then streams were refused for good.
  it('waits for a server of its version while the view of the gateway may lack servers, and is then refused with a delay', async () => {
    await beginStream()
    for (const isListedInTime of [true, false]) {
      const gateway = startGateway([answerRest], [newServer], hosts, { objectiveMs: 300 }, { isComplete: false })
      const forwarded = gateway.forward(resumption)
      await sleep(100)
      if (isListedInTime) gateway.services.view.applyUpdate(fleetUpdateOf({ serversRevision: 2, servers: [oldServer], isComplete: false }))
      const answer = await forwarded
      if (isListedInTime) expect(answer).to.include({ text: secondEvent, isComplete: true })
      else expect(answer.refusal).to.equal(GatewayRefusal.Overloaded)
      if (!isListedInTime) expect(answer.retryAfterMs).to.be.above(0)
    }
  })

  // Failure it guards against: with a split route, the rest of a stream came from the other service.
  it('stays with the service that began the stream, and is refused when the route has left it', async () => {
    await beginStream()
    const otherService = Array.from({ length: 4 }, (_, index) => recordOf(`o-${index}`, { service: 'other' }))
    for (let round = 0; round < 5; round++) {
      const gateway = startGateway([answerRest], [...otherService, oldServer], hosts, { targets: [{ service: 'other', weight: 99 }, { service: 's', weight: 1 }] })
      await gateway.forward(resumption)
      expect(gateway.servers.arrivals.map(({ server }) => server)).to.deep.equal([oldServer.id])
    }
    const gateway = startGateway([answerRest], [...otherService, oldServer], hosts, { targets: [{ service: 'other', weight: 1 }, { service: 's', weight: 0 }] })
    expect((await gateway.forward(resumption)).refusal).to.equal(GatewayRefusal.UnknownStream)
    expect(gateway.services.metrics.read(Counter.ResumptionRefusals, ResumptionRefusal.OtherService)).to.equal(1)
  })

  // Failure it guards against: a resumption was refused as early as a new request, which can go to servers of every version.
  it('waits for a free slot of its version until the objective of the route', async () => {
    await beginStream()
    const gateway = startGateway([answerRest], [oldServer, newServer], hosts, { objectiveMs: 500 })
    for (let count = 0; count < 20; count++) gateway.services.view.adjustLiveCount(oldServer.id, 1)
    const forwarded = gateway.forward(resumption)
    await sleep(250)
    for (let count = 0; count < 20; count++) gateway.services.view.adjustLiveCount(oldServer.id, -1)
    expect(await forwarded).to.include({ text: secondEvent, isComplete: true })
    for (let count = 0; count < 20; count++) gateway.services.view.adjustLiveCount(oldServer.id, 1)
    expect((await gateway.forward({ ...resumption, receivedAt: performance.now() })).refusal).to.equal(GatewayRefusal.Overloaded)
  })

  // Failure it guards against: with a leader of an earlier version, which lists servers without versions, a stream was joined from two versions.
  it('is refused while the leader lists the servers without their versions', async () => {
    const unknown = [recordOf('i-1', { softwareVersion: undefined }), recordOf('i-2', { softwareVersion: undefined })]
    const gateway = startGateway([breakAfterFirstEvent, answerRest], unknown, hosts, { attempts: 1 })
    await gateway.forward()
    expect((await gateway.forward(resumption)).refusal).to.equal(GatewayRefusal.UnknownStream)
    expect(gateway.servers.arrivals).to.have.length(1)
  })

  // Guards against a route whose streams callers may not resume, and which is now refused.
  it('is no concern of a route without resumable streams', async () => {
    const gateway = startGateway([answerRest], [oldServer], hosts, { resumable: false })
    expect(await gateway.forward({ resumeAfter: 0 })).to.include({ text: secondEvent, isComplete: true })
  })

  // Failure it guards against: the first event of a stream waited for the hosts that keep records.
  it('adds no delay to the first event while no host that keeps records answers', async () => {
    for (const address of keepers) hosts.silent.add(address)
    const gateway = startGateway([{ does: 'answer', pieces: [firstEvent, secondEvent] }], [oldServer], hosts)
    const startedAt = performance.now()
    expect(await gateway.forward()).to.include({ text: firstEvent + secondEvent, isComplete: true })
    expect(performance.now() - startedAt).to.be.below(100)
  })
})
