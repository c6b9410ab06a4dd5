import { expect } from 'chai'
import { type Failure, FailureReason } from '../src/process/program/failure.ts'
import { ReplicaRole } from '../src/process/log/replica.ts'
import { canChangeMembers } from '../src/process/log/membershipTask.ts'
import { advanceCommit } from '../src/process/log/replicaCommit.ts'
import { appendEntry } from '../src/process/log/replicaLeadership.ts'
import { lastIndexOf, lastTermOf, membersIndexOf, termAt } from '../src/process/log/replicaLog.ts'
import type { AppendRequest, VoteRequest } from '../src/process/log/replicaMessages.ts'
import { maxPendingProposals } from '../src/process/log/replicaProposals.ts'
import { createCore, type ReplicaInputs } from '../src/process/log/replicaState.ts'
import { type Entry, PayloadKind, Standing } from '../src/process/log/storage.ts'
import { maxElectionTimeoutMs, minElectionTimeoutMs } from '../src/process/log/election.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { FakeClock, runPendingTasks } from './support/fakeClock.ts'
import { commandNamed, startTestLog, type TestHost, type TestLog } from './support/testLog.ts'

const addresses = ['a:1', 'b:1', 'c:1']

function entryNamed (index: number, term: number, name: string): Entry {
  return { index, term, payload: { kind: PayloadKind.Command, command: commandNamed(name) } }
}

function appendTo (host: TestHost, term: number, entries: readonly Entry[], previousIndex = lastIndexOf(host.replica.state)): AppendRequest {
  const { state } = host.replica
  return {
    to: state.identity,
    term,
    leader: 'test',
    leaderAddress: 'test:1',
    previousIndex,
    previousTerm: termAt(state, previousIndex) ?? 0,
    entries,
    commitIndex: 0
  }
}

function voteFor (host: TestHost, candidate: string, term: number): VoteRequest {
  const { state } = host.replica
  return { to: state.identity, term, candidate, lastIndex: lastIndexOf(state), lastTerm: lastTermOf(state), preVote: false }
}

describe('safety of the log', () => {
  let log: TestLog

  async function startWithFollower (seed: number): Promise<{ leader: TestHost, follower: TestHost }> {
    log = await startTestLog({ addresses, seed })
    const leader = await log.untilLeader()
    const follower = log.hosts.find(host => host !== leader) as TestHost
    return { leader, follower }
  }

  afterEach(async () => {
    for (const host of log.hosts) host.storage.release()
    await log.close()
  })

  it('does not acknowledge a repeated append before the first one is synced', async () => {
    const { follower } = await startWithFollower(21)
    log.network.swallowed.add(follower.address)
    follower.storage.hold()
    const { term } = follower.replica.state
    const request = appendTo(follower, term, [entryNamed(lastIndexOf(follower.replica.state) + 1, term, 'x')])
    const answers: string[] = []
    follower.replica.handleAppend(request).then(() => answers.push('first'), () => {})
    follower.replica.handleAppend(request).then(() => answers.push('repeated'), () => {})
    await runPendingTasks()
    expect(answers).to.deep.equal([])
    follower.storage.release()
    await runPendingTasks()
    expect(answers).to.have.length(2)
  })

  it('does not acknowledge entries that a newer leader replaced during their sync', async () => {
    const { follower } = await startWithFollower(22)
    log.network.swallowed.add(follower.address)
    const { term } = follower.replica.state
    const next = lastIndexOf(follower.replica.state) + 1
    const old = appendTo(follower, term, [entryNamed(next, term, 'old')])
    const newer = appendTo(follower, term + 1, [entryNamed(next, term + 1, 'new')])
    follower.storage.hold()
    const answerOld = follower.replica.handleAppend(old)
    const answerNewer = follower.replica.handleAppend(newer)
    follower.storage.release()
    expect((await answerOld)._unsafeUnwrap()).to.include({ term: term + 1, accepted: false })
    expect((await answerNewer)._unsafeUnwrap()).to.deep.equal({ term: term + 1, accepted: true, index: next })
  })

  it('gives a vote only once it is synced, and not to a second candidate after a restart', async () => {
    const { follower } = await startWithFollower(23)
    log.network.swallowed.add(follower.address)
    await log.clock.advance(minElectionTimeoutMs + 100)
    const term = follower.replica.state.term + 5
    follower.storage.hold()
    let answered = false
    const vote = follower.replica.handleVote(voteFor(follower, 'first', term)).then(answer => {
      answered = true
      return answer
    })
    await runPendingTasks()
    expect(answered).to.equal(false)
    follower.storage.release()
    expect((await vote)._unsafeUnwrap().granted).to.equal(true)
    await log.crash(follower)
    await log.revive(follower)
    log.clock.jump(minElectionTimeoutMs + 100)
    const second = await follower.replica.handleVote(voteFor(follower, 'second', term))
    expect(second._unsafeUnwrap().granted).to.equal(false)
  })

  it('commits an entry of an earlier term only with one of its own term', () => {
    const members = ['a', 'b', 'c'].map(identity => ({ identity, address: `${identity}:1`, availabilityZone: 'z', standing: Standing.Voter }))
    const point = { index: 5, term: 1, members }
    const inputs = { address: 'a:1', clock: new FakeClock(), apply: () => ({ kind: 'done' }) } as unknown as ReplicaInputs
    const core = createCore(inputs, { identity: 'a', term: 4, votedFor: 'a', snapshot: { point, parts: [] }, entries: [entryNamed(6, 2, 'early'), entryNamed(7, 4, 'own')] })
    core.state.members = members
    core.state.role = ReplicaRole.Leader
    core.state.syncedIndex = 7
    const progress = { nextIndex: 7, matchIndex: 6, acknowledgedAt: 0, confirmedReadRound: 0, catchUpTargetIndex: 0, catchUpStartedAt: 0, isCaughtUp: false }
    core.state.progress.set('b', progress)
    advanceCommit(core)
    expect(core.state.commitIndex).to.equal(5)
    progress.matchIndex = 7
    advanceCommit(core)
    expect(core.state.commitIndex).to.equal(7)
    return startTestLog({ addresses: ['a:1'], seed: 1 }).then(started => { log = started })
  })

  it('makes a leader that was cut off step down, and on its return it neither deposes the new one nor keeps old writes', async () => {
    const { leader } = await startWithFollower(24)
    expect(await log.propose(leader, 'before')).to.equal(true)
    log.network.swallowed.add(leader.address)
    const lost = log.propose(leader, 'old')
    // It may lead for an election timeout after the last answer, and looks every heartbeat.
    await log.until('the old leader steps down', minElectionTimeoutMs + 2 * 100 + 10, () => leader.replica.state.role === ReplicaRole.Follower)
    expect(await lost).to.equal(false)
    const rest = log.hosts.filter(host => host !== leader)
    const next = await log.untilLeader(rest)
    expect(await log.propose(next, 'new')).to.equal(true)
    await log.clock.advance(60_000, 50)
    const { term } = next.replica.state
    log.network.swallowed.delete(leader.address)
    await log.until('the returned host follows', 5_000, () => leader.applied.includes('new'))
    await log.clock.advance(5_000)
    expect(next.replica.state).to.include({ role: ReplicaRole.Leader, term })
    for (const host of log.hosts) expect(host.applied).to.deep.equal(['before', 'new'])
  })

  it('refuses commands and reads at a leader that was frozen, before any of its timers has run', async () => {
    const { leader } = await startWithFollower(25)
    await log.clock.advance(2_000)
    const before = lastIndexOf(leader.replica.state)
    log.clock.jump(10_000)
    const command = leader.replica.propose(commandNamed('stale'))
    const read = leader.replica.confirmRead()
    expect((await command)._unsafeUnwrapErr().reason).to.equal(FailureReason.NotLeader)
    expect((await read)._unsafeUnwrapErr().reason).to.equal(FailureReason.NotLeader)
    expect(lastIndexOf(leader.replica.state)).to.equal(before)
  })

  it('does not confirm a read with answers to requests that were sent before it', async () => {
    const { leader } = await startWithFollower(26)
    await log.clock.advance(2_000)
    for (const host of log.hosts) if (host !== leader) log.network.mute.add(host.address)
    let result: string | undefined
    leader.replica.confirmRead().match(() => { result = 'confirmed' }, () => { result = 'refused' })
    await log.until('the end of the read', 3_000, () => result !== undefined)
    expect(result).to.equal('refused')
  })

  it('does not depose a leader that is heard while a campaign is under way', async () => {
    const { leader, follower } = await startWithFollower(27)
    const { term } = leader.replica.state
    const request = voteFor(follower, 'returning', term + 3)
    expect((await follower.replica.handleVote(request))._unsafeUnwrap().granted).to.equal(false)
    expect((await follower.replica.handleVote({ ...request, preVote: true }))._unsafeUnwrap().granted).to.equal(false)
    expect(follower.replica.state.term).to.equal(term)
  })

  it('elects a leader although its term is two behind the other host', async () => {
    const { leader, follower } = await startWithFollower(28)
    const third = log.hosts.find(host => host !== leader && host !== follower) as TestHost
    log.network.swallowed.add(third.address)
    for (const name of ['one', 'two']) expect(await log.propose(leader, name)).to.equal(true)
    log.network.swallowed.add(leader.address)
    log.network.swallowed.add(follower.address)
    const term = third.replica.state.term + 4
    await log.clock.advance(minElectionTimeoutMs + 100)
    await third.replica.handleVote(voteFor(third, 'gone', term))
    log.network.swallowed.delete(third.address)
    log.network.swallowed.delete(follower.address)
    const next = await log.untilLeader([follower, third])
    expect(next).to.equal(follower)
    await log.until('the commands of the old leader', 5_000, () => third.applied.join() === 'one,two')
  })

  it('ends a leader that its own change removes once that change is committed, and not before', async () => {
    const { leader } = await startWithFollower(29)
    const { state } = leader.replica
    const core = { ...createCore(coreInputs(leader), { identity: state.identity, term: 0, votedFor: undefined, snapshot: undefined, entries: [] }), state }
    for (const host of log.hosts) if (host !== leader) host.storage.hold()
    appendEntry(core, { kind: PayloadKind.Members, members: state.members.filter(member => member.identity !== state.identity) })
    await runPendingTasks()
    expect(state.role).to.equal(ReplicaRole.Leader)
    for (const host of log.hosts) host.storage.release()
    // Sooner than the loss of a majority would end it.
    await log.until('the removed leader steps down', minElectionTimeoutMs / 2, () => state.role === ReplicaRole.Follower)
    const rest = log.hosts.filter(host => host !== leader)
    await log.untilLeader(rest)
    await log.clock.advance(3 * maxElectionTimeoutMs)
    expect(state.role).to.equal(ReplicaRole.Follower)
  })

  function coreInputs (host: TestHost): ReplicaInputs {
    return {
      address: host.address,
      storage: host.storage,
      transport: log.network.transportOf(host.address),
      clock: log.clock,
      random: log.random,
      logger: { write () {} },
      metrics: { count () {}, record () {} },
      lifecycle: host.lifecycle,
      apply: () => ({ kind: 'done' })
    } as unknown as ReplicaInputs
  }

  it('changes the membership only when the last change and an entry of the own term are committed', async () => {
    const { leader } = await startWithFollower(32)
    const { state } = leader.replica
    await log.until('the first commit', 2_000, () => state.commitIndex >= state.termStartIndex)
    expect(canChangeMembers(state)).to.equal(true)
    expect(canChangeMembers({ ...state, commitIndex: state.termStartIndex - 1 })).to.equal(false)
    const change: Entry = { index: state.commitIndex + 1, term: state.term, payload: { kind: PayloadKind.Members, members: state.members } }
    expect(canChangeMembers({ ...state, entries: [...state.entries, change] })).to.equal(false)
    expect(canChangeMembers({ ...state, role: ReplicaRole.Follower })).to.equal(false)
  })

  it('refuses commands over the limit of waiting ones without appending them', async () => {
    const { leader } = await startWithFollower(30)
    for (const host of log.hosts) host.storage.hold()
    const results = Array.from({ length: maxPendingProposals + 1 }, (_, number) => leader.replica.propose(commandNamed(`${number}`)))
    const last = lastIndexOf(leader.replica.state)
    const refused: Failure = (await results[maxPendingProposals])?._unsafeUnwrapErr() as Failure
    expect(refused.reason).to.equal(FailureReason.Rejected)
    expect(lastIndexOf(leader.replica.state)).to.equal(last)
  })

  it('ends the replica on a failed sync, and writes nothing afterwards', async () => {
    const { leader } = await startWithFollower(31)
    leader.storage.failing = true
    expect(await log.propose(leader, 'lost')).to.equal(false)
    expect(leader.lifecycle.cause?.reason).to.equal(FailureReason.Storage)
    leader.storage.failing = false
    const before = leader.storage.syncs
    await log.clock.advance(5_000, 50)
    expect(leader.storage.syncs).to.equal(before)
    expect(leader.replica.state.role).to.equal(ReplicaRole.Follower)
  })

  it('keeps acknowledged commands, once and in one order, under crashes, cuts, delays, lost answers and lost disks', async function () {
    const runs = Number(process.env.LOG_RUNS ?? 6)
    const firstSeed = Number(process.env.LOG_SEED ?? 1_000)
    for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
      await runFaults(seed)
      if (seed < firstSeed + runs - 1) await log.close()
    }
    expect(allDisksLost, 'lost disks').to.be.greaterThan(0)
    expect(allAcknowledged, 'acknowledged commands').to.be.greaterThan(20 * runs)
  })

  let allDisksLost = 0
  let allAcknowledged = 0

  async function runFaults (seed: number): Promise<void> {
    log = await startTestLog({ addresses, seed, compaction: { entries: 12, bytes: 1_000_000, retained: 3 } })
    const random = createSeededRandom(seed + 1)
    const acknowledged: string[] = []
    const leaderOfTerm = new Map<number, string>()
    const down = new Set<TestHost>()
    let disksLost = 0
    // A second disk may be lost only after the first was replaced: the data of two of three hosts is a majority.
    const isWhole = (): boolean => log.leaders().some(({ replica: { state } }) =>
      state.commitIndex >= membersIndexOf(state) && state.members.length === 3 && state.members.every(member =>
        member.standing === Standing.Voter && log.hosts.some(other => other.replica.state.identity === member.identity)))
    await log.untilLeader()
    for (let step = 0; step < 60; step++) {
      const host = log.hosts[random.below(log.hosts.length)] as TestHost
      switch (random.below(8)) {
        case 0: if (down.size === 0) { await log.crash(host); down.add(host) } break
        case 1: for (const other of down) await log.revive(other); down.clear(); break
        case 2: log.network.swallowed.add(host.address); break
        case 3: log.network.swallowed.clear(); log.network.mute.clear(); break
        case 4: log.network.mute.add(host.address); break
        case 5: log.network.delayMs = random.below(300); break
        case 6: await log.clock.advance(random.below(2_000)); break
        case 7:
          if (down.size > 0 || !isWhole()) break
          await log.crash(host)
          await log.revive(host, true)
          disksLost++
          break
      }
      for (const leader of log.leaders()) {
        const { term, address } = leader.replica.state
        expect(leaderOfTerm.get(term) ?? address, `leader of term ${term}, seed ${seed}`).to.equal(address)
        leaderOfTerm.set(term, address)
        for (let count = 0; count < 5; count++) {
          const name = `${step}-${address}-${count}`
          leader.replica.propose(commandNamed(name)).map(() => acknowledged.push(name)).unwrapOr(0).then(() => {}, () => {})
        }
      }
      await log.clock.advance(100 + random.below(400))
    }
    for (const other of down) await log.revive(other)
    log.network.swallowed.clear()
    log.network.mute.clear()
    log.network.delayMs = 0
    const leader = await log.untilLeader()
    await log.propose(leader, 'end')
    await log.until('all hosts have the end', 20_000, () => log.hosts.every(host => host.applied.at(-1) === 'end'))
    for (const host of log.hosts) expect(host.applied, `${host.address}, seed ${seed}`).to.deep.equal(leader.applied)
    expect(new Set(leader.applied).size, `commands applied twice, seed ${seed}`).to.equal(leader.applied.length)
    for (const name of acknowledged) expect(leader.applied, `acknowledged, seed ${seed}`).to.include(name)
    allAcknowledged += acknowledged.length
    allDisksLost += disksLost
  }
})
