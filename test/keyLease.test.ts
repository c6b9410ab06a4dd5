import { expect } from 'chai'
import fc from 'fast-check'
import { err, ok, ResultAsync } from 'neverthrow'
import { createKeyLease, getKeyLeaseMs } from '../src/process/accounts/keyLease.ts'
import { createFleetLeader } from '../src/process/fleet/fleetLeader.ts'
import type { FleetHost } from '../src/process/fleet/fleetMessages.ts'
import { sessionTimeoutMs } from '../src/process/fleet/hostSessions.ts'
import { createFleetView, defaultAccountSettings, type FleetView } from '../src/process/fleet/fleetView.ts'
import { type Replica, ReplicaRole } from '../src/process/log/replica.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { createFailure, FailureReason, Step } from '../src/process/program/failure.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { CommandKind } from '../src/process/state/commands.ts'
import { applyCommand, createControlState } from '../src/process/state/controlState.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import { identifyCaller } from '../src/request/callerIdentity.ts'
import { digestKey } from '../src/version/accounts.ts'
import type { GatewayTables } from '../src/version/gatewayTables.ts'
import { FakeClock } from './support/fakeClock.ts'
import { fleetUpdateOf, tablesOf } from './support/fakeFleet.ts'

const revocationMs = 5_000
const leaseMs = getKeyLeaseMs(revocationMs)
const key = 'k-1'

function accountTablesOf (version: number, keyInForce = key): GatewayTables {
  return { ...tablesOf(version, []), accounts: [{ name: 'north', keys: [digestKey(keyInForce)], priority: undefined, ratePerSecond: 0, burst: 0 }] }
}

describe('lease for keys', () => {
  let clock: FakeClock
  let view: FleetView

  beforeEach(() => {
    clock = new FakeClock()
    clock.jump(60_000)
    view = createFleetView(clock, createSilentLogger(), () => [], { ...defaultAccountSettings, keyLeaseMs: () => leaseMs })
    view.applyTables(accountTablesOf(1))
  })

  const confirm = (version: number, tablesAgeMs?: number, sentAt = clock.now()): void => view.applyUpdate(fleetUpdateOf({ tablesVersion: version, tablesAgeMs }), sentAt)
  const decide = (credential: string | undefined = key, isPublic = false): string => identifyCaller(credential, isPublic, view).match(account => account?.name ?? 'nobody', refusal => refusal)

  // Guards against a gateway in touch that serves nobody; and against a host that is cut off and accepts keys withdrawn meanwhile, or
  // calls keys unknown which were added meanwhile.
  it('holds on a host in touch, and ends before a withdrawal that it cannot learn of has to be in effect', () => {
    confirm(1, 100)
    expect([decide(), decide('other')]).to.deep.equal(['north', GatewayRefusal.Unauthorized])
    clock.jump(leaseMs - 101)
    expect(decide()).to.equal('north')
    clock.jump(1)
    expect([decide(), decide('other')]).to.deep.equal([GatewayRefusal.NotReady, GatewayRefusal.NotReady])
  })

  // Guards against a leader that was frozen while another one accepted a withdrawal, and answers the polls that it held; against a response
  // held up on its way, or read by a host that was frozen; and against a leader that has not confirmed its leadership.
  it('is not extended by a response of a leader that was frozen, to a poll sent long ago, or without a confirmation', () => {
    const sentAt = clock.now()
    clock.jump(leaseMs)
    for (const respond of [() => confirm(1, leaseMs), () => confirm(1, 0, sentAt), () => confirm(1)]) {
      respond()
      expect(decide()).to.equal(GatewayRefusal.NotReady)
    }
  })

  // Guards against a host that is in touch and accepts keys by old tables, which it fails to replace.
  it('is not extended by confirmations of a version that the host does not have, until it has it', () => {
    confirm(1, 0)
    for (let elapsedMs = 0; elapsedMs < leaseMs; elapsedMs += 500) {
      clock.jump(500)
      confirm(2, 0)
    }
    expect(decide()).to.equal(GatewayRefusal.NotReady)
    view.applyTables(accountTablesOf(2, 'k-2'))
    expect([decide(), decide('k-2')]).to.deep.equal([GatewayRefusal.Unauthorized, 'north'])
  })

  // Failure: a host that had lost the leader called a key unknown that had been added meanwhile, which ends the attempts of its caller. The
  // leader acknowledges a version without a host that it has not heard of for the time of a session.
  it('calls no key unknown once a version that has it may have been acknowledged', () => {
    const decideAll = (): string[] => [decide(), decide('other'), decide('other', true)]
    confirm(1, 100)
    clock.jump(sessionTimeoutMs - 101)
    expect(decideAll()).to.deep.equal(['north', GatewayRefusal.Unauthorized, 'nobody'])
    clock.jump(1)
    expect(decideAll()).to.deep.equal(['north', GatewayRefusal.NotReady, GatewayRefusal.NotReady])
    confirm(2, 0)
    expect(decideAll(), 'while newer tables are known').to.deep.equal(['north', GatewayRefusal.NotReady, GatewayRefusal.NotReady])
    view.applyTables(accountTablesOf(2))
    expect(decideAll()).to.deep.equal(['north', GatewayRefusal.Unauthorized, 'nobody'])
  })

  // Guards against a request that runs for an account that may have lost the key, or a job that is open to everyone since the host could
  // not judge the key; and against callers without a key who are refused on a public route.
  it('is needed on a public route by callers that send a key, and by them alone', () => {
    const decideAll = (): string[] => [key, 'other'].map(sent => decide(sent, true)).concat(identifyCaller(undefined, true, view).isOk() ? 'nobody' : 'refused')
    confirm(1, 0)
    expect(decideAll()).to.deep.equal(['north', 'nobody', 'nobody'])
    view.recordTablesVersion(2)
    expect(decideAll()).to.deep.equal(['north', GatewayRefusal.NotReady, 'nobody'])
    clock.jump(leaseMs)
    expect(decideAll()).to.deep.equal([GatewayRefusal.NotReady, GatewayRefusal.NotReady, 'nobody'])
  })

  // Guards against refusals where no bound of time is configured, and where requests need no key.
  it('is not needed without a bound or without accounts', () => {
    const unbounded = createFleetView(clock, createSilentLogger(), () => [])
    unbounded.applyTables(accountTablesOf(1))
    view.applyTables(tablesOf(2, []))
    expect([unbounded.canServeAccounts, view.canServeAccounts]).to.deep.equal([true, true])
  })

  // Guards against any order of events in which a request sent after the bound runs with a withdrawn key. The model: two leaders, of which
  // the second deposes the first at some time; withdrawals, each as a new version; messages that arrive late or never, tables that are
  // fetched late, and processes that stand still in between.
  it('lets no request run by tables that lack a version acknowledged longer ago than the bound', () => {
    const action = fc.oneof(
      { weight: 4, arbitrary: fc.integer({ min: 1, max: 1_500 }) },
      { weight: 9, arbitrary: fc.constantFrom('read', 'poll', 'answer', 'receive') },
      { weight: 3, arbitrary: fc.constantFrom('publish', 'fetch', 'deposed answer', 'exchange') },
      { weight: 1, arbitrary: fc.constantFrom('depose', 'lose') }
    )
    let accepted = 0
    let acceptedByOldTables = 0
    fc.assert(fc.property(fc.array(action, { minLength: 30, maxLength: 150 }), actions => {
      const lease = createKeyLease(clock, () => leaseMs)
      // Time of the acknowledgement of each version, by version.
      const acknowledgedAt = [-Infinity, clock.now()]
      const deposed = { version: 1, confirmedAt: undefined as number | undefined }
      const leader = { version: 1, confirmedAt: undefined as number | undefined }
      let isDeposed = false
      let held = 1
      let polledAt: number | undefined
      const underway: Array<{ version: number, sentAt: number, ageMs: number }> = []
      const answer = ({ version, confirmedAt }: typeof leader): void => {
        if (polledAt !== undefined && confirmedAt !== undefined) underway.push({ version, sentAt: polledAt, ageMs: clock.now() - confirmedAt })
      }
      const receive = (): void => {
        const message = underway.shift()
        if (message !== undefined) lease.record(message)
      }
      const act = (name: string): void => {
        if (name === 'read') leader.confirmedAt = clock.now()
        if (name === 'poll') polledAt = clock.now()
        if (name === 'answer') answer(leader)
        if (name === 'deposed answer' && isDeposed) answer(deposed)
        if (name === 'receive') receive()
        if (name === 'lose') underway.shift()
        if (name === 'exchange') for (const step of ['read', 'poll', 'answer', 'receive']) act(step)
        if (name === 'fetch') held = leader.version
        if (name === 'publish') acknowledgedAt[++leader.version] = clock.now()
        // The new leader has all versions; what the old one has confirmed stays as it is.
        if (name !== 'depose' || isDeposed) return
        isDeposed = true
        Object.assign(deposed, leader)
        leader.confirmedAt = undefined
      }
      for (const step of actions) {
        if (typeof step === 'number') clock.jump(step)
        else act(step)
        if (!lease.isHeld(held)) continue
        accepted++
        if (held < leader.version) acceptedByOldTables++
        expect(clock.now() - (acknowledgedAt[held + 1] ?? Infinity), 'age of a withdrawal that the tables lack, ms').to.be.at.most(revocationMs)
      }
    }), { seed: 44, numRuns: 1_000 })
    expect(Math.min(accepted, acceptedByOldTables), 'decisions that the model reached').to.be.above(1_000)
  })
})

describe('age of the tables at the leader', () => {
  // Guards against a leader that vouches for its tables before it has confirmed its leadership, by what it knew in an earlier term, or as of
  // the time of its answer although it was frozen or deposed since; and against read rounds without accounts.
  it('counts from the last successful confirmation of the term, and is named only with accounts', async () => {
    const clock = new FakeClock()
    const lifecycle = createLifecycle()
    const state = createControlState()
    const publish = (tables: GatewayTables): unknown => applyCommand(state, { kind: CommandKind.Publish, publication: { tables, document: '', digest: '' } })
    const replicaState = { identity: 'a', address: '10.0.0.9:1', leaderAddress: undefined, members: [], changed: createCondition(clock), role: ReplicaRole.Leader, term: 1, commitIndex: 1, termStartIndex: 1 }
    let rounds = 0
    let hasMajority = true
    const roundMs = 200
    const confirmRead = (): ReturnType<Replica['confirmRead']> => {
      rounds++
      return ResultAsync.fromSafePromise(clock.sleep(roundMs)).andThen(() => hasMajority ? ok(1) : err(createFailure(FailureReason.NoQuorum, { step: Step.ConfirmRead }, 'no majority')))
    }
    const replica = { state: replicaState, confirmRead } as unknown as Replica
    const fleet = createFleetLeader({ replica, state, clock, logger: createSilentLogger(), metrics: createMetrics(), lifecycle, knownServers: () => [], getRegion: () => undefined, heartbeatTimeoutMs: 5_000, settleMs: 0 })
    const host: FleetHost = { name: 'g-1', holder: 'g-1', role: 'gateway', availabilityZone: 'z1', region: 'r1', callerAddress: 'g-1:1', ready: true }
    const readAgeMs = async (): Promise<number | undefined> => {
      const update = fleet.watch({ host, leadership: '', tablesVersion: 0, fetchesTables: true, serversRevision: 0, hostsRevision: -1, isSettled: false })
      await clock.advance(20)
      return (await update)._unsafeUnwrap().tablesAgeMs
    }
    publish(tablesOf(1, []))
    await clock.advance(1_000)
    expect([await readAgeMs(), rounds], 'without accounts').to.deep.equal([undefined, 0])
    publish(accountTablesOf(2))
    await clock.advance(600)
    expect(await readAgeMs(), 'with accounts').to.be.within(roundMs, 700)
    clock.jump(revocationMs)
    expect(await readAgeMs(), 'after it was frozen').to.be.at.least(revocationMs)
    await clock.advance(1_000)
    hasMajority = false
    await clock.advance(2_000)
    expect(await readAgeMs(), 'without a majority').to.be.within(2_000, 2_800)
    hasMajority = true
    replicaState.term = 2
    expect(await readAgeMs(), 'in a new term').to.equal(undefined)
    await clock.advance(1_000)
    expect(await readAgeMs(), 'in a new term, confirmed').to.be.within(roundMs, 700)
    const closed = lifecycle.close()
    await clock.advance(1_000)
    await closed
  })
})
