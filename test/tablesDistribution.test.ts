/**
 * Distribution of the tables: one encoding for all hosts, apart from the polls, and an acknowledgement that speaks for the gateways.
 * @module
 */
import { expect } from 'chai'
import { err, ok, type Result } from 'neverthrow'
import { decodeTables } from '../src/connection/tablesCodec.ts'
import { runTablesFetch } from '../src/connection/tablesFetch.ts'
import type { FleetClient } from '../src/connection/controlClient.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { createFailure, type Failure, FailureReason, Step } from '../src/process/program/failure.ts'
import { createFleetLeader, type FleetLeader } from '../src/process/fleet/fleetLeader.ts'
import type { FleetHost, FleetRole, FleetWatchRequest, TablesRequest, TablesResponse } from '../src/process/fleet/fleetMessages.ts'
import { createFleetView, maxTablesOutdatedMs } from '../src/process/fleet/fleetView.ts'
import { sessionTimeoutMs } from '../src/process/fleet/hostSessions.ts'
import { createTablesSource } from '../src/process/fleet/tablesSource.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { Counter, createMetrics } from '../src/process/program/metrics.ts'
import { createSystemRandom } from '../src/process/program/random.ts'
import { type Replica, ReplicaRole } from '../src/process/log/replica.ts'
import { type ControlState, createControlState } from '../src/process/state/controlState.ts'
import { CommandKind, OutcomeKind } from '../src/process/state/commands.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import type { GatewayTables } from '../src/version/gatewayTables.ts'
import { FakeClock, runPendingTasks } from './support/fakeClock.ts'
import { fleetUpdateOf, forwardingServicesOf, RecordedResponse, requestOf, routeOf, ScriptedServers, tablesOf } from './support/fakeFleet.ts'
import { MemoryStorage } from './support/memoryStorage.ts'
import { startTestControl } from './support/testControl.ts'

/** How long a confirmation waits, in milliseconds. */
const waitMs = 600

const manyRoutes = Array.from({ length: 1_300 }, (_, number) => routeOf({ name: `r-${number}`, pathPrefix: `/${number}/` }))

function publish (state: ControlState, tables: GatewayTables): void {
  state.publication = { tables, document: '', digest: String(tables.version) }
}

describe('tables of a version', () => {
  let lifecycle: Lifecycle
  let clock: FakeClock
  const logger = createSilentLogger()

  beforeEach(() => {
    lifecycle = createLifecycle()
    clock = new FakeClock()
  })
  afterEach(() => lifecycle.close())

  // Failure (CONFIG on rothar-ops-grown): the leader encoded 1,336 routes once for each of 81 polls, lost its leadership, and
  // gateways served by an older version for seconds after the acknowledgement.
  it('are encoded once, whatever the number of hosts that fetch them', async () => {
    const metrics = createMetrics()
    const state = createControlState()
    publish(state, tablesOf(8, manyRoutes))
    const source = createTablesSource({ state, clock, logger, metrics, lifecycle })
    const responses = await Promise.all(Array.from({ length: 75 }, () => source.fetch({ knownVersion: 4, requiredVersion: 8 })))
    for (const response of responses) expect((await decodeTables(response._unsafeUnwrap().encoded as never)).routes.length).to.equal(1_300)
    expect(metrics.read(Counter.TablesEncoded, 'version')).to.equal(1)
    expect((await source.fetch({ knownVersion: 8, requiredVersion: 0 }))._unsafeUnwrap()).to.deep.equal({ version: 8, encoded: undefined })
  })

  // Guards against a follower that sends an older version than the leader has named.
  it('are sent by a control host only once it has applied the required version', async () => {
    const metrics = createMetrics()
    const state = createControlState()
    publish(state, tablesOf(4, []))
    const source = createTablesSource({ state, clock, logger, metrics, lifecycle })
    const early = source.fetch({ knownVersion: 0, requiredVersion: 8 })
    await clock.advance(1_000)
    expect((await early)._unsafeUnwrapErr().reason).to.equal(FailureReason.NotFound)
    const later = source.fetch({ knownVersion: 0, requiredVersion: 8 })
    await runPendingTasks()
    publish(state, tablesOf(8, []))
    source.handleApplied()
    expect((await later)._unsafeUnwrap().version).to.equal(8)
  })

  async function startFetch (fetch: (request: TablesRequest) => Result<TablesResponse, Failure>) {
    const requests: TablesRequest[] = []
    const view = createFleetView(clock, logger, () => [])
    const client = { fetchTables: async (request: TablesRequest) => { requests.push(request); return fetch(request) } } as unknown as FleetClient
    const inputs = { view, client, clock, random: createSystemRandom(), logger, metrics: createMetrics(), describe: () => ({}) as FleetHost }
    lifecycle.run(signal => runTablesFetch(inputs, signal))
    await runPendingTasks()
    expect(requests).to.deep.equal([])
    return { view, requests }
  }

  // Guards against a gateway that waits for its next poll, or gives up after a failure, while it knows of a newer version.
  it('are fetched as soon as a newer version is named, and again after a failure', async () => {
    const state = createControlState()
    publish(state, tablesOf(8, []))
    const source = createTablesSource({ state, clock, logger, metrics: createMetrics(), lifecycle })
    const response = (await source.fetch({ knownVersion: 0, requiredVersion: 8 }))._unsafeUnwrap()
    let failures = 2
    const { view, requests } = await startFetch(() => failures-- > 0 ? err(createFailure(FailureReason.Timeout, { step: Step.FetchTables }, 'no response')) : ok(response))
    view.applyUpdate(fleetUpdateOf({ tablesVersion: 8 }))
    await clock.advance(500)
    expect(view.tables?.version).to.equal(8)
    expect(requests).to.deep.equal(Array.from({ length: 3 }, () => ({ knownVersion: 0, requiredVersion: 8 })))
    expect(view.tablesOutdatedMs).to.equal(undefined)
  })

  // Guards against a gateway that becomes ready with the tables of a control host that has just started and lacks the latest.
  it('are not fetched before the first contact with a leader', async () => {
    const { requests } = await startFetch(() => ok({ version: 0 }))
    await clock.advance(5_000)
    expect(requests).to.deep.equal([])
  })

  // Guards against a gateway that is cut off from the leader alone, and serves by an older version as long as that lasts.
  it('are fetched from another control host while the leader does not answer polls', async () => {
    const state = createControlState()
    publish(state, tablesOf(9, []))
    const source = createTablesSource({ state, clock, logger, metrics: createMetrics(), lifecycle })
    const response = (await source.fetch({ knownVersion: 0, requiredVersion: 0 }))._unsafeUnwrap()
    const { view, requests } = await startFetch(({ knownVersion }) => ok(knownVersion < 9 ? response : { version: 9 }))
    view.applyUpdate(fleetUpdateOf({ tables: tablesOf(8, []), tablesVersion: 8 }))
    await clock.advance(900)
    expect(requests).to.deep.equal([])
    await clock.advance(1_500)
    expect(view.tables?.version).to.equal(9)
  })
})

describe('a gateway with outdated tables', () => {
  // Failure (CONFIG): a gateway refused the routes of a version that it knew to be in force and had not received yet with 404.
  it('refuses an unknown path as not ready, and serves the routes that it has', async () => {
    const services = forwardingServicesOf(new ScriptedServers([{ does: 'answer', pieces: ['id: 0\ndata: e\n\n'] }]), [routeOf()])
    services.view.applyUpdate(fleetUpdateOf({ tablesVersion: 2 }))
    const unknown = new RecordedResponse()
    await runForwardedRequest(requestOf({ path: '/new/1' }).request, unknown, services)
    expect(unknown.refusal).to.equal(GatewayRefusal.NotReady)
    const known = new RecordedResponse()
    await runForwardedRequest(requestOf().request, known, services)
    expect(known.isComplete).to.equal(true)
    services.view.applyTables(tablesOf(2, [routeOf()]))
    const removed = new RecordedResponse()
    await runForwardedRequest(requestOf({ path: '/new/1' }).request, removed, services)
    expect(removed.refusal).to.equal(GatewayRefusal.NoRoute)
  })

  // Guards against refusals while an operator publishes versions faster than a host can fetch the latest.
  it('serves requests while it receives each of many versions in time, though never the latest', () => {
    const clock = new FakeClock()
    const view = createFleetView(clock, createSilentLogger(), () => [])
    view.applyTables(tablesOf(1, []))
    for (let version = 2; version <= 20; version++) {
      view.applyUpdate(fleetUpdateOf({ tablesVersion: version }))
      clock.jump(maxTablesOutdatedMs / 2)
      view.applyTables(tablesOf(version - 1, []))
      expect(view.canServe).to.equal(true)
      expect(view.tablesOutdatedMs).to.equal(maxTablesOutdatedMs / 2)
    }
  })

  // Guards against requests served by an old version for as long as the fetch of the new one fails.
  it('serves no requests once it has known of the newer version for too long', () => {
    const clock = new FakeClock()
    const view = createFleetView(clock, createSilentLogger(), () => [])
    expect(view.canServe).to.equal(false)
    view.applyTables(tablesOf(4, []))
    clock.jump(10 * maxTablesOutdatedMs)
    expect(view.canServe).to.equal(true)
    view.applyUpdate(fleetUpdateOf({ tablesVersion: 5 }))
    clock.jump(maxTablesOutdatedMs - 1)
    view.applyUpdate(fleetUpdateOf({ tablesVersion: 6 }))
    expect(view.canServe).to.equal(true)
    clock.jump(2)
    expect(view.canServe).to.equal(false)
    view.applyTables(tablesOf(6, []))
    expect(view.canServe).to.equal(true)
  })
})

describe('confirmation of tables by the gateways', () => {
  let lifecycle: Lifecycle
  let clock: FakeClock
  let fleet: FleetLeader
  let leadership: string
  const state = createControlState()

  beforeEach(async () => {
    lifecycle = createLifecycle()
    clock = new FakeClock()
    publish(state, tablesOf(4, []))
    const replica = {
      state: { identity: 'a', address: '10.0.0.9:1', leaderAddress: undefined, members: [], changed: createCondition(clock), role: ReplicaRole.Leader, term: 1, commitIndex: 5, termStartIndex: 5 }
    } as unknown as Replica
    fleet = createFleetLeader({ replica, state, clock, logger: createSilentLogger(), metrics: createMetrics(), lifecycle, knownServers: () => [], getRegion: () => undefined, heartbeatTimeoutMs: 5_000, settleMs: 0 })
    fleet.isLeading()
    leadership = fleet.getLeadership()
  })
  afterEach(() => lifecycle.close())

  function pollOf (name: string, role: FleetRole, tablesVersion: number, knownTablesVersion = tablesVersion): FleetWatchRequest {
    const host: FleetHost = { name, holder: name, role, availabilityZone: 'z1', region: 'r1', callerAddress: `${name}:1`, ready: true }
    return { host, leadership, tablesVersion, fetchesTables: true, knownTablesVersion, serversRevision: 0, hostsRevision: 0, isSettled: true, quarantineRevision: Infinity, limitsRevision: Infinity }
  }

  function poll (name: string, role: FleetRole, tablesVersion: number, knownTablesVersion = tablesVersion): void {
    fleet.watch(pollOf(name, role, tablesVersion, knownTablesVersion)).catch(() => {})
  }

  async function startPolls (): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < sessionTimeoutMs; elapsedMs += 500) {
      poll('g-1', 'gateway', 4)
      poll('g-2', 'gateway', 4)
      await clock.advance(500)
    }
  }

  function publishVersion (version: number): void {
    publish(state, tablesOf(version, manyRoutes))
    fleet.publish()
  }

  // Guards against tables in the poll, whose encoding for each host delays everything else at the leader.
  it('names the version in force to a host that fetches tables, and sends it no tables', async () => {
    const update = fleet.watch(pollOf('g-1', 'gateway', 4))
    await runPendingTasks()
    publishVersion(8)
    await clock.advance(50)
    const { tables, tablesVersion } = (await update)._unsafeUnwrap()
    expect([tables, tablesVersion]).to.deep.equal([undefined, 8])
  })

  // Guards against polls that are answered at once, over and over, while a host fetches the tables.
  it('holds the next poll of a host that knows the version and has not received it yet', async () => {
    publishVersion(8)
    let isAnswered = false
    fleet.watch(pollOf('g-1', 'gateway', 4, 8)).then(() => { isAnswered = true }, () => {})
    await clock.advance(300)
    expect(isAnswered).to.equal(false)
  })

  // Failure (CONFIG on rothar-ops-grown): a version was acknowledged once it was committed, and gateways served by an older one.
  it('is given once every gateway serves by the version, and not for hosts that do not use tables', async () => {
    await startPolls()
    poll('s-1', 'executor', 0)
    publishVersion(8)
    let confirmed: Result<void, Failure> | undefined
    fleet.confirmTables(8, waitMs).then(result => { confirmed = result }, () => {})
    fleet.report({ holder: 'g-1', tablesVersion: 8, live: {}, suspects: [] })
    await clock.advance(100)
    expect(confirmed).to.equal(undefined)
    fleet.report({ holder: 'g-2', tablesVersion: 9, live: {}, suspects: [] })
    await clock.advance(100)
    expect(confirmed?.isOk()).to.equal(true)
  })

  // Guards against an acknowledgement while a gateway that polls may serve by an older version, and against one that is never
  // given because a gateway can't get the version: it refuses requests by itself a while after it has learned of it.
  it('is refused while a gateway has older tables, until that gateway refuses requests by itself', async () => {
    await startPolls()
    publishVersion(8)
    fleet.report({ holder: 'g-1', tablesVersion: 8, live: {}, suspects: [] })
    async function pollFor (durationMs: number, knownVersion: number): Promise<void> {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 500) {
        poll('g-1', 'gateway', 8)
        poll('g-2', 'gateway', 4, knownVersion)
        await clock.advance(500)
      }
    }
    await pollFor(3 * maxTablesOutdatedMs, 4)
    expect((await fleet.confirmTables(8, 0))._unsafeUnwrapErr().reason).to.equal(FailureReason.Unconfirmed)
    await pollFor(maxTablesOutdatedMs, 8)
    expect((await fleet.confirmTables(8, 0))._unsafeUnwrapErr().reason).to.equal(FailureReason.Unconfirmed)
    await pollFor(500, 9)
    expect((await fleet.confirmTables(8, 0)).isOk()).to.equal(true)
    publishVersion(9)
    expect((await fleet.confirmTables(9, 0))._unsafeUnwrapErr().reason).to.equal(FailureReason.Unconfirmed)
  })

  // Guards against a new leader that knows no gateway yet and confirms for all of them, and one that does not have the version.
  it('is refused by a new leader until every gateway has had time to contact it, and for a version that it does not have', async () => {
    const early = fleet.confirmTables(4, waitMs)
    await clock.advance(waitMs)
    expect((await early)._unsafeUnwrapErr().reason).to.equal(FailureReason.Unconfirmed)
    await clock.advance(sessionTimeoutMs)
    expect((await fleet.confirmTables(4, 0)).isOk()).to.equal(true)
    expect((await fleet.confirmTables(8, 0))._unsafeUnwrapErr().reason).to.equal(FailureReason.Unconfirmed)
  })
})

describe('a publication that is repeated', () => {
  // Failure: an operator repeats a publication that takes long, and each time the large document was appended to the log again.
  it('is appended to the log once, before and after its commit', async () => {
    const lifecycle = createLifecycle()
    const clock = new FakeClock()
    const control = await startTestControl(clock, new MemoryStorage('disk'), lifecycle)
    const command = { kind: CommandKind.Publish, publication: { tables: tablesOf(8, manyRoutes), document: 'document', digest: 'digest' } } as const
    await clock.advance(500)
    const { appliedIndex } = control.replica.state
    const outcomes = [control.execute(command), control.execute(command), control.execute(command)]
    await clock.advance(200)
    for (const outcome of await Promise.all(outcomes)) expect(outcome._unsafeUnwrap()).to.deep.equal({ kind: OutcomeKind.Applied, version: 8 })
    const repeated = control.execute(command)
    await clock.advance(200)
    expect((await repeated).isOk()).to.equal(true)
    expect(control.replica.state.appliedIndex).to.equal(appliedIndex + 1)
    const closed = lifecycle.close()
    await clock.advance(2_000)
    await closed
  })
})
