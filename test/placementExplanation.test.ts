import { expect } from 'chai'
import { err, ok, type Result } from 'neverthrow'
import { createFleetView } from '../src/process/fleet/fleetView.ts'
import { createFailure, type Failure, FailureReason, Step } from '../src/process/program/failure.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { QueryKind, type QueryResponse } from '../src/process/state/queries.ts'
import { ServerPhase } from '../src/process/fleet/backendServerRegistry.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import { createExplanationApi } from '../src/request/explanationApi.ts'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import { answerPlacement, explainPlacement, type PlacementExplanation } from '../src/request/placementExplanation.ts'
import { ExclusionReason, listCandidates } from '../src/request/serverCandidates.ts'
import { ordinaryPlaces } from '../src/request/placement/competition.ts'
import { type ClientAccount, digestKey } from '../src/version/accounts.ts'
import { type GatewayTables, RouteKind } from '../src/version/gatewayTables.ts'
import { FakeClock } from './support/fakeClock.ts'
import { fleetUpdateOf, forwardingServicesOf, recordOf, RecordedResponse, requestOf, routeOf, type Script, ScriptedServers, tablesOf } from './support/fakeFleet.ts'

const account: ClientAccount = { name: 'north', keys: [digestKey('key')], priority: undefined, ratePerSecond: 10, burst: 0 }
const withdrawn: ClientAccount = { name: 'south', keys: [], priority: undefined, ratePerSecond: 0, burst: 0 }
const question = { host: 'A.example', path: '/p/1', account: 'north' }
const answered: Script = { does: 'answer', pieces: ['id: 0\ndata: a\n\n'] }

function tables (overrides: Partial<GatewayTables> = {}): GatewayTables {
  return { ...tablesOf(1, [routeOf({ targets: [{ service: 's', weight: 1 }, { service: 't', weight: 1 }] }), routeOf({ name: 'b', pathPrefix: '/b/', kind: RouteKind.Batch, waitingTokens: 100 })]), accounts: [account, withdrawn], ...overrides }
}

// Without `tokens`, no control host answers.
function play (update: Parameters<typeof fleetUpdateOf>[0] = {}, tokens?: number) {
  const clock = new FakeClock()
  const written: unknown[] = []
  const logger = { ...createSilentLogger(), write: (...event: unknown[]) => { written.push(event) } } as ReturnType<typeof createSilentLogger>
  const view = createFleetView(clock, logger, () => [])
  const servers = [...['i-1', 'i-2', 'i-3'].map(id => recordOf(id)), ...['j-1', 'j-2'].map(id => recordOf(id, { service: 't', availabilityZone: 'z2' }))]
  view.applyUpdate(fleetUpdateOf({ servers, tables: tables(), tablesVersion: 1, tablesAgeMs: 0, ...update }), clock.now())
  const client = new ScriptedServers([answered])
  const read = async (): Promise<Result<QueryResponse, Failure>> => tokens === undefined ? err(createFailure(FailureReason.Timeout, { step: Step.Read }, 'no answer')) : ok({ kind: QueryKind.WaitingTokens, tokens })
  const base = forwardingServicesOf(client, [])
  const services = { ...base, clock, view, logger, control: { ...base.control, read } }
  // Sums with live requests, which are older with the time that passes: the choice is random among several servers.
  const load = (): void => {
    view.applyLoads({ loads: { 'i-1': { live: 5, batch: 0 }, 'i-2': { live: 4, batch: 1 }, 'i-3': { live: 6, batch: 0 }, 'j-1': { live: 2, batch: 0 } }, suspects: ['j-2'], intervalMs: 100 }, new Map())
    clock.jump(200)
  }
  const explain = (asked = question): PlacementExplanation => explainPlacement(asked, services)._unsafeUnwrap()
  return { services, view, clock, client, written, load, explain }
}

describe('explanation of a placement', () => {
  // Guards against an explanation that decides by other code, or by random numbers in another order, than requests do.
  it('names the server that a request then gets with the same random numbers, and counts nothing', async () => {
    const chosenServers = new Set<string>()
    for (const seed of Array.from({ length: 30 }, (_, index) => index)) {
      const { services, view, client, written, load } = play()
      view.accountQuotas.applyTotals({ accountUse: { north: [1] }, gateways: 1, accountLevel: 0.1 }, {})
      load()
      const describe = (): unknown => ({ metrics: services.metrics.format().split('\n').filter(line => line.startsWith('jaychute')), events: written.length })
      const before = describe()
      const explained = explainPlacement(question, { ...services, random: createSeededRandom(seed) })._unsafeUnwrap()
      expect(describe()).to.deep.equal(before)
      expect([client.arrivals.length, view.live.size, view.accountQuotas.describeUse()]).to.deep.equal([0, 0, {}])
      await runForwardedRequest(requestOf({ credential: 'key', receivedAt: services.clock.now() }).request, new RecordedResponse(), { ...services, random: createSeededRandom(seed) })
      expect(client.arrivals.map(({ server }) => server)).to.deep.equal([explained.servers?.chosen])
      chosenServers.add(explained.servers?.chosen ?? '')
    }
    expect(chosenServers.size).to.be.above(2)
  })

  // Guards against figures that do not add up to the decision, and against a table without the ages of what was known.
  it('contains the parts of the scores, the shares and the ages of what was known', () => {
    const { explain, load, services } = play()
    load()
    const { servers, knowledge, route } = explainPlacement({ ...question, path: '/p/x' }, { ...services, random: createSeededRandom(3) })._unsafeUnwrap()
    expect(knowledge).to.deep.equal({ tablesVersion: 1, tablesVersionInForce: 1, lastContactMs: 200, loadSumsMs: 200 })
    expect(route?.services).to.deep.equal([{ service: 's', weight: 1, readyServers: 3 }, { service: 't', weight: 1, readyServers: 2 }])
    let sum = 0
    for (const { share, score, parts } of servers?.candidates ?? []) {
      sum += share
      expect(Object.values(parts).reduce((total, part) => total + part, 0)).to.be.closeTo(score, 1e-9)
    }
    expect(sum).to.be.closeTo(1, 1e-9)
    const zoneAndSuspect = Array.from({ length: 20 }, () => explain()).find(({ servers }) => servers?.service === 't')?.servers?.candidates.find(({ server }) => server === 'j-2')
    expect(zoneAndSuspect?.parts).to.include({ distance: 0.5, suspect: 100 })
  })

  // Guards against a server that is left out without a word.
  it('names the reason for each server that is excluded', () => {
    const service = { name: 's', slots: 8, memoryTokens: 1_000 }
    const records = ['leaving', 'said', 'gone', 'limited', 'full', 'memory', 'free'].map(id => recordOf(id, id === 'leaving' ? { phase: ServerPhase.Leaving } : id === 'gone' ? { phase: ServerPhase.Gone } : {}))
    const { view, explain } = play({ servers: records, tables: { ...tables({ services: [service] }), routes: [routeOf()] } })
    view.leavingServers.record(recordOf('said'), true)
    view.requestLimits.record('limited', 5, 0)
    view.requestLimits.exclude('limited', 1_000)
    for (const change of Array.from({ length: 10 }, () => 1 as const)) view.adjustLiveCount('full', change)
    // Memory counts only for services whose servers report figures.
    view.paceSamples.recordLoad(recordOf('memory'), { running: 1, waiting: 0, slots: 8, slowdown: 1 })
    view.serverWork.add('memory', { work: 1, tokens: 950 })
    const { servers, refusal } = explain()
    expect(refusal).to.equal(undefined)
    expect(servers?.chosen).to.equal('free')
    expect(Object.fromEntries(servers?.excluded.map(({ server, reason }) => [server, reason]) ?? [])).to.deep.equal({
      leaving: ExclusionReason.Leaving, said: ExclusionReason.Leaving, gone: ExclusionReason.NotReady, limited: ExclusionReason.LimitUsedUp, full: ExclusionReason.Full, memory: ExclusionReason.MemoryFull
    })
  })

  // Guards against servers of another version that count as free when a stream has to continue.
  it('names the version of the software as the reason where a stream began at another one', () => {
    const { services, view } = play()
    const excluded: Parameters<typeof listCandidates>[3] = []
    listCandidates({ service: 's', origin: { service: 's', softwareVersion: 'v2' }, isRetryable: true, places: ordinaryPlaces, tokens: 0 }, view.remoteLoads.estimate('s'), services, excluded)
    expect(excluded?.map(({ reason }) => reason)).to.deep.equal(Array.from({ length: 3 }, () => ExclusionReason.OtherVersion))
  })

  // Guards against a refusal of a busy account that looks like a full service.
  it('tells servers that are left to other accounts from full ones', () => {
    const { view, services } = play({ servers: [recordOf('i-1', { slots: 8 })], tables: tables({ routes: [routeOf()] }) })
    view.accountQuotas.applyTotals({ accountUse: { north: [49] }, gateways: 1, accountLevel: 0.01 }, { north: [49] })
    for (const change of Array.from({ length: 9 }, () => 1 as const)) view.adjustLiveCount('i-1', change)
    const refused = Array.from({ length: 30 }, (_, seed) => explainPlacement(question, { ...services, random: createSeededRandom(seed) })._unsafeUnwrap()).find(({ servers }) => servers?.isBeyondShare)
    expect(refused).to.include({ refusal: GatewayRefusal.Overloaded })
    expect(refused?.servers).to.deep.include({ waitMs: 0, excluded: [{ server: 'i-1', address: '10.0.0.1:3', reason: ExclusionReason.BeyondShare }] })
  })

  // Guards against an explanation that uses up the limit of the account that it is about.
  it('says that the limit of the account is used up, and uses none of it', () => {
    const { view, explain } = play()
    view.accountQuotas.applyTotals({ accountUse: { north: [80] }, gateways: 1 }, {})
    expect(explain()).to.deep.include({ refusal: GatewayRefusal.QuotaExceeded, account: { name: 'north', priority: 0, quota: { limit: 50, used: 80, ageMs: 0, admittedShare: 0 } } })
    expect(view.accountQuotas.describeUse()).to.deep.equal({})
  })

  // Guards against one answer for different mistakes.
  it('tells an unknown route, an unknown account, a missing key, withdrawn keys and a gateway without tables apart', async () => {
    const { explain, services, clock, view } = play()
    expect(explain({ ...question, path: '/q/' })).to.include({ refusal: GatewayRefusal.NoRoute, servers: undefined })
    expect((await answerPlacement({ ...question, account: 'west' }, services)).isErr()).to.equal(true)
    expect(explain({ ...question, account: undefined } as never).refusal).to.equal(GatewayRefusal.Unauthorized)
    expect(explain({ ...question, account: 'south' }).refusal).to.equal(GatewayRefusal.Unauthorized)
    view.recordTablesVersion(2)
    clock.jump(3_000)
    expect(explain()).to.include({ refusal: GatewayRefusal.NotReady, route: undefined })
  })

  // Guards against a permit that is taken for a request that is not sent, and against work for a gateway that is about to end.
  it('says that a permit would be needed, and that a draining gateway refuses', async () => {
    const { view, services, explain } = play({ servers: [recordOf('i-1')], tables: tables({ routes: [routeOf(), routeOf({ name: 'b', pathPrefix: '/b/', kind: RouteKind.Batch })] }) })
    view.requestLimits.record('i-1', 5, 0)
    expect(explain().servers).to.include({ chosen: 'i-1', needsPermit: true })
    const draining = { ...services, drain: { lastEndAt: 1_000 } }
    for (const path of ['/p/1', '/b/1']) expect((await answerPlacement({ ...question, path }, draining))._unsafeUnwrap()).to.include({ refusal: GatewayRefusal.Draining, job: undefined })
  })

  // Guards against a job that is said to be accepted beyond the limit of its route, or refused while the use is not known.
  for (const [tokens, acceptedTokens, refusal] of [[40, 60, undefined], [100, 0, GatewayRefusal.QuotaExceeded], [undefined, undefined, undefined]] as const) {
    it(`of a job has a refusal of ${refusal ?? 'none'} with ${tokens ?? 'an unknown number of'} waiting tokens`, async () => {
      const { services, client } = play({}, tokens)
      const explained = (await answerPlacement({ ...question, path: '/b/1' }, services))._unsafeUnwrap()
      expect(explained).to.deep.include({ refusal, servers: undefined, job: { waitingTokens: tokens, tokenLimit: 100, acceptedTokens } })
      expect(client.arrivals).to.deep.equal([])
    })
  }

  // Guards against keys in URLs, where logs and proxies keep them, and in responses.
  it('is refused with a parameter for a key, and repeats no name of an unknown account', async () => {
    const api = createExplanationApi(play().services)
    const ask = async (query: string): Promise<string> => {
      const response = await api.request(`/explain?host=a.example&path=/p/1${query}`)
      return `${response.status} ${await response.text()}`
    }
    expect(await ask('&account=north')).to.match(/^200 /)
    for (const query of ['&key=secret', '&x-credential=secret', '&account=secret']) expect(await ask(query)).to.match(/^40[04] /).and.not.to.include('secret')
  })
})
