import { expect } from 'chai'
import fc from 'fast-check'
import { okAsync, ResultAsync } from 'neverthrow'
import { createKeyLease, getKeyLeaseMs } from '../src/process/accounts/keyLease.ts'
import { createFleetLeader } from '../src/process/fleet/fleetLeader.ts'
import type { FleetHost } from '../src/process/fleet/fleetMessages.ts'
import { createFleetView, type FleetView } from '../src/process/fleet/fleetView.ts'
import { createTablesConfirmations, type TablesConfirmations } from '../src/process/fleet/tablesConfirmation.ts'
import { type Replica, ReplicaRole } from '../src/process/log/replica.ts'
import { createCondition } from '../src/process/program/condition.ts'
import { createFailure, type Failure, FailureReason, Step } from '../src/process/program/failure.ts'
import { createLifecycle } from '../src/process/program/lifecycle.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { CommandKind } from '../src/process/state/commands.ts'
import { applyCommand, createControlState } from '../src/process/state/controlState.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import { identifyCaller } from '../src/request/callerIdentity.ts'
import { type ClientAccount, digestKey } from '../src/version/accounts.ts'
import type { GatewayTables } from '../src/version/gatewayTables.ts'
import { FakeClock } from './support/fakeClock.ts'
import { fleetUpdateOf, routeOf, tablesOf } from './support/fakeFleet.ts'

const revocationMs = 5_000
const key = 'k-1'

function accountTablesOf (version: number, keys: readonly string[]): GatewayTables {
  const account: ClientAccount = { name: 'north', keys: keys.map(digestKey), priority: undefined, ratePerSecond: 0, burst: 0 }
  return { ...tablesOf(version, [routeOf()]), accounts: [account] }
}

/** A leader of one term over the shared tables of a log; it is confirmed as long as it is not deposed. */
class TestLeader {
  isDeposed = false
  version = 0
  readonly confirmations: TablesConfirmations
  private readonly clock: FakeClock
  private readonly controller = new AbortController()

  constructor (clock: FakeClock, name: string) {
    this.clock = clock
    const notLeader = createFailure(FailureReason.NotLeader, { step: Step.ConfirmRead }, 'deposed')
    const confirm = async (): Promise<number> => {
      await clock.sleep(20)
      if (this.isDeposed) throw notLeader
      return 1
    }
    this.confirmations = createTablesConfirmations({
      clock,
      replica: { confirmRead: () => ResultAsync.fromPromise(confirm(), error => error as Failure) },
      state: { publication: { tables: accountTablesOf(1, []), document: '', digest: '' } },
      isLeading: () => !this.isDeposed,
      getLeadership: () => name
    })
    this.confirmations.run(this.controller.signal).catch(error => expect.fail(String(error)))
  }

  /** Answers a poll that was sent at a time. */
  answer (sentAt: number, view: FleetView, tables?: GatewayTables): void {
    view.applyUpdate(fleetUpdateOf({ tablesVersion: this.version, tablesAgeMs: this.confirmations.getAgeMs(), tables }), sentAt)
  }

  async close (): Promise<void> {
    this.controller.abort()
    await this.clock.advance(100)
  }
}

describe('lease for keys', () => {
  let clock: FakeClock
  let view: FleetView
  let leader: TestLeader

  beforeEach(async () => {
    clock = new FakeClock()
    view = createFleetView(clock, createSilentLogger(), () => [], () => getKeyLeaseMs(revocationMs))
    leader = new TestLeader(clock, 'a/1')
    leader.version = 1
    await clock.advance(1_000)
  })

  afterEach(async () => await leader.close())

  const decide = (credential = key): GatewayRefusal | 'runs' => identifyCaller(credential, false, view).match(() => 'runs' as const, refusal => refusal)

  // Guards against a gateway that serves nobody although it is in touch.
  it('holds on a host in touch, which refuses unknown keys as unknown', () => {
    leader.answer(clock.now(), view, accountTablesOf(1, [key]))
    expect([decide(), decide('other')]).to.deep.equal(['runs', GatewayRefusal.Unauthorized])
  })

  // Guards against a host that is cut off and accepts keys withdrawn meanwhile, and that calls keys unknown which were added meanwhile.
  it('ends on a host that is cut off before a withdrawal has to be in effect', async () => {
    leader.answer(clock.now(), view, accountTablesOf(1, [key]))
    const answeredAt = clock.now()
    await clock.advance(getKeyLeaseMs(revocationMs) - 500)
    expect(decide()).to.equal('runs')
    await clock.advance(answeredAt + revocationMs - clock.now() - 250)
    expect([decide(), decide('other')]).to.deep.equal([GatewayRefusal.NotReady, GatewayRefusal.NotReady])
  })

  // Guards against a leader that was suspended while another one accepted a withdrawal, and answers the polls that it held.
  it('is not extended by a leader that was frozen', async () => {
    leader.answer(clock.now(), view, accountTablesOf(1, [key]))
    clock.jump(revocationMs)
    leader.isDeposed = true
    leader.answer(clock.now(), view)
    expect(decide()).to.equal(GatewayRefusal.NotReady)
  })

  // Guards against a response that was held up on its way, or whose reader was suspended: it says nothing of the time after the poll.
  it('is not extended by a response to a poll sent long ago', () => {
    const sentAt = clock.now()
    leader.answer(clock.now(), view, accountTablesOf(1, [key]))
    const update = fleetUpdateOf({ tablesVersion: 1, tablesAgeMs: leader.confirmations.getAgeMs() })
    clock.jump(revocationMs)
    view.applyUpdate(update, sentAt)
    expect(decide()).to.equal(GatewayRefusal.NotReady)
  })

  // Guards against a host that is in touch and accepts keys by old tables, which it fails to replace.
  it('is not extended by confirmations of a version that the host does not have, until it has it', async () => {
    leader.answer(clock.now(), view, accountTablesOf(1, [key]))
    leader.version = 2
    for (let elapsedMs = 0; elapsedMs < revocationMs; elapsedMs += 500) {
      await clock.advance(500)
      leader.answer(clock.now(), view)
    }
    expect(decide()).to.equal(GatewayRefusal.NotReady)
    view.applyTables(accountTablesOf(2, ['k-2']))
    expect([decide(), decide('k-2')]).to.deep.equal([GatewayRefusal.Unauthorized, 'runs'])
  })

  // Guards against a leader that has not confirmed its leadership yet, and one that does not confirm it (an earlier version of the program).
  it('needs a confirmation', () => {
    view.applyUpdate(fleetUpdateOf({ tablesVersion: 1, tables: accountTablesOf(1, [key]) }), clock.now())
    expect(decide()).to.equal(GatewayRefusal.NotReady)
  })

  // Guards against a request that runs for an account that may have lost the key, or a job that is open to everyone since the host could
  // not judge the key; and against callers without a key who are refused on a public route.
  it('is needed on a public route by callers that send a key, and by them alone', () => {
    leader.answer(clock.now(), view, accountTablesOf(1, [key]))
    const decideAll = (): unknown[] => [key, 'other', undefined].map(sent => identifyCaller(sent, true, view).match(account => account?.name ?? 'nobody', refusal => refusal))
    expect(decideAll()).to.deep.equal(['north', 'nobody', 'nobody'])
    view.recordTablesVersion(2)
    expect(decideAll()).to.deep.equal(['north', GatewayRefusal.NotReady, 'nobody'])
    clock.jump(revocationMs)
    expect(decideAll()).to.deep.equal([GatewayRefusal.NotReady, GatewayRefusal.NotReady, 'nobody'])
  })

  // Guards against refusals where no bound of time is configured, and where requests need no key.
  it('is not needed without a bound or without accounts', () => {
    const unbounded = createFleetView(clock, createSilentLogger(), () => [])
    unbounded.applyUpdate(fleetUpdateOf({ tablesVersion: 1, tables: accountTablesOf(1, [key]) }), clock.now())
    view.applyUpdate(fleetUpdateOf({ tablesVersion: 1, tables: tablesOf(1, []) }), clock.now())
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
      const lease = createKeyLease(clock, () => getKeyLeaseMs(revocationMs))
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

  it('answers a failed confirmation with the age of the last successful one', async () => {
    const before = leader.confirmations.getAgeMs() ?? expect.fail('no confirmation')
    leader.isDeposed = true
    await clock.advance(1_000)
    expect(leader.confirmations.getAgeMs()).to.be.within(before + 900, before + 1_300)
  })
})

describe('age of the tables at the leader', () => {
  // Guards against a leader that vouches for its tables before it has confirmed its leadership, or by what it knew in an earlier term.
  it('is named in responses from the first confirmation of the term on, and only with accounts', async () => {
    const clock = new FakeClock()
    const lifecycle = createLifecycle()
    const state = createControlState()
    const publish = (tables: GatewayTables): unknown => applyCommand(state, { kind: CommandKind.Publish, publication: { tables, document: '', digest: String(tables.version) } })
    const replicaState = { identity: 'a', address: '10.0.0.9:1', leaderAddress: undefined, members: [], changed: createCondition(clock), role: ReplicaRole.Leader, term: 1, commitIndex: 1, termStartIndex: 1 }
    let confirmations = 0
    const confirmRead = (): ResultAsync<number, Failure> => {
      confirmations++
      return okAsync(1)
    }
    const replica = { state: replicaState, confirmRead } as unknown as Replica
    const fleet = createFleetLeader({ replica, state, clock, logger: createSilentLogger(), metrics: createMetrics(), lifecycle, knownServers: () => [], getRegion: () => undefined, heartbeatTimeoutMs: 5_000, settleMs: 0 })
    const host: FleetHost = { name: 'g-1', holder: 'g-1', role: 'gateway', availabilityZone: 'z1', region: 'r1', callerAddress: 'g-1:1', ready: true }
    const poll = async (): Promise<number | undefined> => {
      const update = fleet.watch({ host, leadership: '', tablesVersion: 0, fetchesTables: true, serversRevision: 0, hostsRevision: -1, isSettled: false })
      await clock.advance(20)
      return (await update)._unsafeUnwrap().tablesAgeMs
    }
    publish(tablesOf(1, []))
    await clock.advance(1_000)
    expect([await poll(), confirmations], 'without accounts').to.deep.equal([undefined, 0])
    publish(accountTablesOf(2, [key]))
    await clock.advance(400)
    expect(await poll(), 'with accounts').to.be.within(0, 400)
    replicaState.term = 2
    expect(await poll(), 'in a new term').to.equal(undefined)
    await clock.advance(400)
    expect(await poll(), 'in a new term, confirmed').to.be.within(0, 400)
    const closed = lifecycle.close()
    await clock.advance(1_000)
    await closed
  })
})
