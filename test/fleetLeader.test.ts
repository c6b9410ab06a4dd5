import { expect } from 'chai'
import { createSystemClock } from '../src/process/program/clock.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { createControlState } from '../src/process/state/controlState.ts'
import { type BackendServerRecord, type Heartbeat, ServerPhase } from '../src/process/fleet/backendServerRegistry.ts'
import { createFleetLeader, type FleetLeader } from '../src/process/fleet/fleetLeader.ts'
import type { FleetHost, FleetUpdate, FleetRole, FleetWatchRequest } from '../src/process/fleet/fleetMessages.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { type Replica, ReplicaRole } from '../src/process/log/replica.ts'
import { recordOf, tablesOf } from './support/fakeFleet.ts'

const leaving: Heartbeat = { id: 'i-1', service: 's', address: '10.0.0.1:80', availabilityZone: 'z1', slots: 8, leaving: true, startedAt: 1, sequence: 5 }

function hostOf (name: string, role: FleetRole = 'gateway'): FleetHost {
  return { name, holder: name, role, availabilityZone: 'z1', region: 'r1', callerAddress: `${name}:1`, ready: true }
}

describe('the leader of the fleet', () => {
  let lifecycle: Lifecycle
  let fleet: FleetLeader
  const role = { role: ReplicaRole.Leader as ReplicaRole, term: 1 }
  const state = createControlState()

  beforeEach(() => start([]))
  afterEach(() => lifecycle.close())

  function start (known: readonly BackendServerRecord[]): void {
    lifecycle = createLifecycle()
    role.role = ReplicaRole.Leader
    role.term = 1
    const clock = createSystemClock()
    const replicaState = { identity: 'a', address: '10.0.0.9:1', leaderAddress: undefined, members: [], changed: createCondition(clock), get role () { return role.role }, get term () { return role.term } }
    const replica = { state: replicaState } as unknown as Replica
    fleet = createFleetLeader({ replica, state, clock, logger: createSilentLogger(), lifecycle, knownServers: () => known, heartbeatTimeoutMs: 5_000, settleMs: 0 })
  }

  function firstPoll (host: FleetHost): FleetWatchRequest {
    return { host, leadership: '', tablesVersion: 0, serversRevision: 0, hostsRevision: -1, isSettled: false }
  }

  function nextPoll (host: FleetHost, news: FleetUpdate): FleetWatchRequest {
    return { host, leadership: news.leadership, tablesVersion: news.tables?.version ?? 0, serversRevision: news.serversRevision, hostsRevision: news.hostsRevision, isSettled: news.isComplete }
  }

  // Failure (DRAIN on a hunt of rothar, 2.9 s after the acknowledgement): a gateway that had not heard yet sent a request.
  it('acknowledges that a server leaves only once every gateway and control host knows', async () => {
    const hosts = [hostOf('g-1'), hostOf('g-2'), hostOf('c-1', 'control')]
    const news: FleetUpdate[] = []
    for (const host of hosts) news.push((await fleet.watch(firstPoll(host)))._unsafeUnwrap())
    const held = hosts.map(async (host, index) => (await fleet.watch(nextPoll(host, news[index] as FleetUpdate)))._unsafeUnwrap())
    let isAcknowledged = false
    const hearing = fleet.receiveHeartbeat(leaving).then(result => {
      isAcknowledged = true
      return result
    })
    const told = await Promise.all(held)
    for (const one of told) expect(one.servers.map(record => record.phase)).to.deep.equal([ServerPhase.Leaving])
    expect(isAcknowledged).to.equal(false)
    for (const [index, host] of hosts.entries()) {
      expect(isAcknowledged).to.equal(false)
      fleet.watch(nextPoll(host, told[index] as FleetUpdate)).catch(() => {})
    }
    expect((await hearing).isOk()).to.equal(true)
  })

  it('does not acknowledge it while a gateway is silent, and does not wait for an executor', async () => {
    await fleet.watch(firstPoll(hostOf('s-1', 'executor')))
    expect((await fleet.receiveHeartbeat(leaving)).isOk()).to.equal(true)
    await fleet.watch(firstPoll(hostOf('g-1')))
    const other = { ...leaving, id: 'i-2', address: '10.0.0.2:80' }
    expect((await fleet.receiveHeartbeat(other)).isErr()).to.equal(true)
  })

  // Failure: a new leader that knew nothing of a leaving server took a late heartbeat for news.
  it('begins a term with what it knew as a member', async () => {
    await lifecycle.close()
    start([recordOf('i-1', { phase: ServerPhase.Leaving, startedAt: 1, sequence: 9 })])
    expect(fleet.isLeading()).to.equal(true)
    expect((await fleet.receiveHeartbeat({ ...leaving, leaving: false, sequence: 8 }))._unsafeUnwrap()).to.equal(false)
    expect(fleet.listReadyServers()).to.deep.equal([])
  })

  it('answers nothing while it does not lead', async () => {
    role.role = ReplicaRole.Follower
    expect((await fleet.watch(firstPoll(hostOf('g-1')))).isErr()).to.equal(true)
    expect((await fleet.receiveHeartbeat(leaving)).isErr()).to.equal(true)
    expect(fleet.report({ holder: 'g-1', live: {}, suspects: [] }).isErr()).to.equal(true)
  })

  it('adds the live requests of all hosts, and forgets those of a host that starts again', async () => {
    await fleet.watch(firstPoll(hostOf('g-1')))
    await fleet.watch(firstPoll(hostOf('g-2')))
    fleet.report({ holder: 'g-1', live: { 'i-1': 2 }, suspects: ['i-3'] })
    const totals = fleet.report({ holder: 'g-2', live: { 'i-1': 3 }, suspects: [] })._unsafeUnwrap()
    expect(totals.loads).to.deep.equal({ 'i-1': { live: 5, batch: 0 } })
    expect(totals.suspects).to.deep.equal(['i-3'])
    await fleet.watch(firstPoll({ ...hostOf('g-1'), holder: 'g-1 again' }))
    expect(fleet.getLoad('i-1').live).to.equal(3)
  })

  it('tells the hosts to control hosts only, and tables to everyone', async () => {
    state.publication = { tables: tablesOf(4, []), document: '', digest: '' }
    await fleet.watch(firstPoll(hostOf('g-1')))
    const control = (await fleet.watch(firstPoll(hostOf('c-1', 'control'))))._unsafeUnwrap()
    const gateway = (await fleet.watch(firstPoll(hostOf('g-2'))))._unsafeUnwrap()
    expect(control.hosts?.map(host => host.name)).to.include.members(['g-1', 'c-1'])
    expect(gateway.hosts).to.equal(undefined)
    expect([control.tables?.version, gateway.tables?.version]).to.deep.equal([4, 4])
    state.publication = undefined
  })
})
