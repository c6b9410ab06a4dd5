import { expect } from 'chai'
import { type Failure, FailureReason } from '../src/process/program/failure.ts'
import { ReplicaRole } from '../src/process/log/replica.ts'
import { canChangeMembers } from '../src/process/log/membershipTask.ts'
import { advanceCommit } from '../src/process/log/replicaCommit.ts'
import { appendEntry } from '../src/process/log/replicaLeadership.ts'
import { countEntryBytes, lastIndexOf, lastTermOf, membersIndexOf, termAt } from '../src/process/log/replicaLog.ts'
import type { AppendRequest, VoteRequest } from '../src/process/log/replicaMessages.ts'
import { maxPendingJobBytes, maxPendingProposals, maxPendingTablesBytes } from '../src/process/log/replicaProposals.ts'
import { createCore, type ReplicaInputs } from '../src/process/log/replicaState.ts'
import { type Entry, PayloadKind, Standing } from '../src/process/log/storage.ts'
import { maxElectionTimeoutMs, minElectionTimeoutMs } from '../src/process/log/election.ts'
import type { Submission } from '../src/process/jobs/submission.ts'
import { type Command, CommandKind } from '../src/process/state/commands.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { FakeClock, runPendingTasks } from './support/fakeClock.ts'
import { tablesOf } from './support/fakeFleet.ts'
import { commandNamed, startTestLog, type TestHost, type TestLog } from './support/testLog.ts'

const addresses = ['a:1', 'b:1', 'c:1']

function entryNamed (index: number, term: number, name: string): Entry {
  return { index, term, payload: { kind: PayloadKind.Command, command: commandNamed(name) } }
}

function createSubmission (id: string, bytes: number): Submission {
  const item = { id: `item of ${id}`, path: '/batch/', headers: {}, body: Buffer.alloc(bytes), tokens: 1 }
  return { id, host: 'a.example', route: 'batch', pathPrefix: '/batch/', acceptedAt: 0, giveUpAt: 0, items: [item] }
}

function createAppendRequest (host: TestHost, term: number, entries: readonly Entry[], previousIndex = lastIndexOf(host.replica.state)): AppendRequest {
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

function createVoteRequest (host: TestHost, candidate: string, term: number): VoteRequest {
  const { state } = host.replica
  return { to: state.identity, term, candidate, lastIndex: lastIndexOf(state), lastTerm: lastTermOf(state), preVote: false }
}

describe('safety of the log', () => {
  let log: TestLog

  async function startWithFollower (seed: number): Promise<{ leader: TestHost, follower: TestHost }> {
    log = await startTestLog({ addresses, seed })
    const leader = await log.waitForLeader()
    const follower = log.hosts.find(host => host !== leader) as TestHost
    return { leader, follower }
  }

  afterEach(async () => {
    for (const host of log.hosts) host.storage.release()
    await log.close()
  })

  // The entries of a repeated request are in memory already; a response without the pending sync would count entries towards
  // a majority that a crash loses.
  it('does not acknowledge a repeated append before the first one is synced', async () => {
    const { follower } = await startWithFollower(21)
    log.network.isolated.add(follower.address)
    follower.storage.hold()
    const { term } = follower.replica.state
    const request = createAppendRequest(follower, term, [entryNamed(lastIndexOf(follower.replica.state) + 1, term, 'x')])
    const responses: string[] = []
    follower.replica.handleAppend(request).then(() => responses.push('first'), () => {})
    follower.replica.handleAppend(request).then(() => responses.push('repeated'), () => {})
    await runPendingTasks()
    expect(responses).to.deep.equal([])
    follower.storage.release()
    await runPendingTasks()
    expect(responses).to.have.length(2)
  })

  // The sync of the old entries succeeds, but they are not in the log any more when it ends; an acknowledgement would count
  // them towards a majority.
  it('does not acknowledge entries that a newer leader replaced during their sync', async () => {
    const { follower } = await startWithFollower(22)
    log.network.isolated.add(follower.address)
    const { term } = follower.replica.state
    const next = lastIndexOf(follower.replica.state) + 1
    const oldRequest = createAppendRequest(follower, term, [entryNamed(next, term, 'old')])
    const newerRequest = createAppendRequest(follower, term + 1, [entryNamed(next, term + 1, 'new')])
    follower.storage.hold()
    const oldResponse = follower.replica.handleAppend(oldRequest)
    const newerResponse = follower.replica.handleAppend(newerRequest)
    follower.storage.release()
    expect((await oldResponse)._unsafeUnwrap()).to.include({ term: term + 1, accepted: false })
    expect((await newerResponse)._unsafeUnwrap()).to.deep.equal({ term: term + 1, accepted: true, index: next })
  })

  // A vote that a crash loses is given again in the same term, which then has two leaders.
  it('grants a vote only once it is synced, and none to a second candidate of the term after a restart', async () => {
    const { follower } = await startWithFollower(23)
    log.network.isolated.add(follower.address)
    await log.clock.advance(minElectionTimeoutMs + 100)
    const term = follower.replica.state.term + 5
    follower.storage.hold()
    let responded = false
    const vote = follower.replica.handleVote(createVoteRequest(follower, 'first', term)).then(response => {
      responded = true
      return response
    })
    await runPendingTasks()
    expect(responded).to.equal(false)
    follower.storage.release()
    expect((await vote)._unsafeUnwrap().granted).to.equal(true)
    await log.crash(follower)
    await log.restart(follower)
    log.clock.jump(minElectionTimeoutMs + 100)
    const secondResponse = await follower.replica.handleVote(createVoteRequest(follower, 'second', term))
    expect(secondResponse._unsafeUnwrap().granted).to.equal(false)
  })

  // An entry of an earlier term on a majority of disks can still be replaced by a leader whose last entry has a later term.
  it('commits an entry of an earlier term only with one of its own term', () => {
    const members = ['a', 'b', 'c'].map(identity => ({ identity, address: `${identity}:1`, availabilityZone: 'z', standing: Standing.Voter }))
    const point = { index: 5, term: 1, members }
    const inputs = { address: 'a:1', clock: new FakeClock(), apply: () => ({ kind: 'done' }) } as unknown as ReplicaInputs
    const core = createCore(inputs, { identity: 'a', term: 4, votedFor: 'a', snapshot: { point, parts: [] }, entries: [entryNamed(6, 2, 'early'), entryNamed(7, 4, 'own')] })
    core.state.members = members
    core.state.role = ReplicaRole.Leader
    core.state.syncedIndex = 7
    const progress = { nextIndex: 7, matchIndex: 6, acknowledgedAt: 0, transfer: undefined, isRestoring: false, sentSnapshotIndex: undefined, confirmedReadRound: 0, catchUpTargetIndex: 0, catchUpStartedAt: 0, caughtUpAt: -Infinity }
    core.state.progress.set('b', progress)
    advanceCommit(core)
    expect(core.state.commitIndex).to.equal(5)
    progress.matchIndex = 7
    advanceCommit(core)
    expect(core.state.commitIndex).to.equal(7)
    return startTestLog({ addresses: ['a:1'], seed: 1 }).then(started => { log = started })
  })

  // An isolated leader would serve stale reads if it kept its role. On its return, a term that it had raised alone would
  // depose the new leader, and its uncommitted entries conflict with committed ones.
  it('makes an isolated leader step down, which on its return neither deposes the new one nor keeps uncommitted entries', async () => {
    const { leader } = await startWithFollower(24)
    expect(await log.propose(leader, 'before')).to.equal(true)
    log.network.isolated.add(leader.address)
    const oldProposal = log.propose(leader, 'old')
    // A leader keeps its role for an election timeout after the last response, and checks this at each heartbeat.
    await log.waitUntil('the old leader steps down', minElectionTimeoutMs + 2 * 100 + 10, () => leader.replica.state.role === ReplicaRole.Follower)
    expect(await oldProposal).to.equal(false)
    const remaining = log.hosts.filter(host => host !== leader)
    const next = await log.waitForLeader(remaining)
    expect(await log.propose(next, 'new')).to.equal(true)
    await log.clock.advance(60_000, 50)
    const { term } = next.replica.state
    log.network.isolated.delete(leader.address)
    await log.waitUntil('the returned host has the new command', 5_000, () => leader.applied.includes('new'))
    await log.clock.advance(5_000)
    expect(next.replica.state).to.include({ role: ReplicaRole.Leader, term })
    for (const host of log.hosts) expect(host.applied).to.deep.equal(['before', 'new'])
  })

  // After a suspension of the process, requests can be handled before the timers that would end the leadership,
  // so that a command or a read would be accepted although another leader may exist.
  it('refuses commands and reads at a leader that was suspended, before any of its timers has run', async () => {
    const { leader } = await startWithFollower(25)
    await log.clock.advance(2_000)
    const lastIndexBefore = lastIndexOf(leader.replica.state)
    log.clock.jump(10_000)
    const command = leader.replica.propose(commandNamed('stale'))
    const read = leader.replica.confirmRead()
    expect((await command)._unsafeUnwrapErr().reason).to.equal(FailureReason.NotLeader)
    expect((await read)._unsafeUnwrapErr().reason).to.equal(FailureReason.NotLeader)
    expect(lastIndexOf(leader.replica.state)).to.equal(lastIndexBefore)
  })

  // A response to an earlier request does not prove that this replica was still the leader when the read began, which could
  // return stale state.
  it('does not confirm a read by responses to requests that were sent before it', async () => {
    const { leader } = await startWithFollower(26)
    await log.clock.advance(2_000)
    for (const host of log.hosts) if (host !== leader) log.network.responsesDropped.add(host.address)
    let result: string | undefined
    leader.replica.confirmRead().match(() => { result = 'confirmed' }, () => { result = 'refused' })
    await log.waitUntil('the outcome of the read', 3_000, () => result !== undefined)
    expect(result).to.equal('refused')
  })

  // A host that returns with a higher term requests votes from followers that are still in contact with the
  // leader; a vote or the higher term would depose it.
  it('grants no vote and keeps the term while the follower is in contact with a leader', async () => {
    const { leader, follower } = await startWithFollower(27)
    const { term } = leader.replica.state
    const request = createVoteRequest(follower, 'returning', term + 3)
    expect((await follower.replica.handleVote(request))._unsafeUnwrap().granted).to.equal(false)
    expect((await follower.replica.handleVote({ ...request, preVote: true }))._unsafeUnwrap().granted).to.equal(false)
    expect(follower.replica.state.term).to.equal(term)
  })

  // Only the host with the complete log can win, but its term is behind. No election would ever succeed if it did not take
  // the higher term from a refused pre-vote.
  it('elects the host with the complete log although its term is two behind that of the other host', async () => {
    const { leader, follower } = await startWithFollower(28)
    const third = log.hosts.find(host => host !== leader && host !== follower) as TestHost
    log.network.isolated.add(third.address)
    for (const name of ['one', 'two']) expect(await log.propose(leader, name)).to.equal(true)
    log.network.isolated.add(leader.address)
    log.network.isolated.add(follower.address)
    const term = third.replica.state.term + 4
    await log.clock.advance(minElectionTimeoutMs + 100)
    await third.replica.handleVote(createVoteRequest(third, 'gone', term))
    log.network.isolated.delete(third.address)
    log.network.isolated.delete(follower.address)
    const next = await log.waitForLeader([follower, third])
    expect(next).to.equal(follower)
    await log.waitUntil('the commands of the old leader on the third host', 5_000, () => third.applied.join() === 'one,two')
  })

  // A leader that steps down before its removal is committed may leave the change undone; one that stays leads a log of
  // which it is no member.
  it('makes a leader that removes itself step down once that change is committed, and not before', async () => {
    const { leader } = await startWithFollower(29)
    const { state } = leader.replica
    const core = { ...createCore(createCoreInputs(leader), { identity: state.identity, term: 0, votedFor: undefined, snapshot: undefined, entries: [] }), state }
    for (const host of log.hosts) if (host !== leader) host.storage.hold()
    appendEntry(core, { kind: PayloadKind.Members, members: state.members.filter(member => member.identity !== state.identity) })
    await runPendingTasks()
    expect(state.role).to.equal(ReplicaRole.Leader)
    for (const host of log.hosts) host.storage.release()
    // Shorter than the time after which the loss of a majority would make it step down.
    await log.waitUntil('the removed leader steps down', minElectionTimeoutMs / 2, () => state.role === ReplicaRole.Follower)
    const remaining = log.hosts.filter(host => host !== leader)
    await log.waitForLeader(remaining)
    await log.clock.advance(3 * maxElectionTimeoutMs)
    expect(state.role).to.equal(ReplicaRole.Follower)
  })

  function createCoreInputs (host: TestHost): ReplicaInputs {
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

  // Otherwise two leaders could each commit a change by majorities that share no voter.
  it('changes the membership only when the last change and an entry of the current term are committed', async () => {
    const { leader } = await startWithFollower(32)
    const { state } = leader.replica
    await log.waitUntil('the first commit', 2_000, () => state.commitIndex >= state.termStartIndex)
    expect(canChangeMembers(state)).to.equal(true)
    expect(canChangeMembers({ ...state, commitIndex: state.termStartIndex - 1 })).to.equal(false)
    const change: Entry = { index: state.commitIndex + 1, term: state.term, payload: { kind: PayloadKind.Members, members: state.members } }
    expect(canChangeMembers({ ...state, entries: [...state.entries, change] })).to.equal(false)
    expect(canChangeMembers({ ...state, role: ReplicaRole.Follower })).to.equal(false)
  })

  // Guards against a leader that runs out of memory while an operator sends versions faster than they are committed (Fault, review/8).
  it('bounds the size of the tables that wait for a majority, and takes tables again once it has one', async () => {
    const { leader } = await startWithFollower(31)
    const { state } = leader.replica
    const documentBytes = 400_000
    const createPublish = (version: number): Command => ({ kind: CommandKind.Publish, publication: { tables: tablesOf(version, []), document: 'x'.repeat(documentBytes), digest: '' } })
    const outcomes: Array<Failure | undefined> = []
    const propose = (version: number): void => { leader.replica.propose(createPublish(version)).match(() => { outcomes.push(undefined) }, failure => { outcomes.push(failure) }) }
    for (const host of log.hosts) host.storage.hold()
    for (let version = 1; version <= 60; version++) propose(version)
    const waiting = state.entries.filter(entry => entry.index > state.commitIndex).reduce((sum, entry) => sum + countEntryBytes(entry), 0)
    expect(waiting).to.be.within(maxPendingTablesBytes, maxPendingTablesBytes + 2 * documentBytes)
    await log.clock.advance(10)
    expect(outcomes.map(failure => failure?.reason)).to.deep.equal(Array.from({ length: outcomes.length }, () => FailureReason.Rejected))
    expect(outcomes.length).to.be.greaterThan(0)
    const { length } = outcomes
    for (const host of log.hosts) host.storage.release()
    await log.waitUntil('the commit of the versions that were taken', 4_000, () => outcomes.length === 60)
    expect(outcomes.slice(length).every(failure => failure === undefined)).to.equal(true)
    propose(61)
    await log.waitUntil('a further version', 2_000, () => outcomes.length === 61)
    expect(outcomes.at(-1)).to.equal(undefined)
  })

  // While no sync completes, pending commands would grow in memory without limit.
  it('refuses commands over the limit of pending ones without appending them', async () => {
    const { leader } = await startWithFollower(30)
    for (const host of log.hosts) host.storage.hold()
    const results = Array.from({ length: maxPendingProposals + 1 }, (_, number) => leader.replica.propose(commandNamed(`${number}`)))
    const lastIndexBefore = lastIndexOf(leader.replica.state)
    const refused: Failure = (await results[maxPendingProposals])?._unsafeUnwrapErr() as Failure
    expect(refused.reason).to.equal(FailureReason.Rejected)
    expect(lastIndexOf(leader.replica.state)).to.equal(lastIndexBefore)
  })

  // Followers on slow connections confirm less than a burst of jobs brings. The entries that wait stay in memory after their callers
  // have given up, and the bodies of a few hundred jobs are more than a control host may use.
  it('bounds the size of the entries that wait for a majority, also after their proposals have timed out', async () => {
    const { leader } = await startWithFollower(33)
    const { state } = leader.replica
    const itemBytes = 150_000
    const createSubmit = (number: number): Command => ({ kind: CommandKind.Submit, submission: createSubmission(`job-${number}`, itemBytes), tokenLimit: 0, giveUpMs: 0, time: 0 })
    const sumWaiting = (): number => state.entries.filter(entry => entry.index > state.commitIndex).reduce((sum, entry) => sum + countEntryBytes(entry), 0)
    for (const host of log.hosts) host.storage.hold()
    const outcomes: Array<Failure | undefined> = []
    for (let round = 0; round < 3; round++) {
      for (let number = 0; number < 100; number++) {
        leader.replica.propose(createSubmit(round * 100 + number)).match(() => { outcomes.push(undefined) }, failure => { outcomes.push(failure) })
      }
      expect(sumWaiting()).to.be.below(maxPendingJobBytes + 2 * itemBytes)
      // Longer than the timeout of a proposal. The leader keeps its majority, since heartbeats need no sync.
      await log.clock.advance(6_000)
      expect(state.role).to.equal(ReplicaRole.Leader)
    }
    expect(outcomes).to.have.length(300)
    expect(outcomes.every(failure => failure?.reason === FailureReason.Rejected || failure?.reason === FailureReason.Unknown)).to.equal(true)
    // Other commands, such as those that finish items or change the configuration, are still taken.
    leader.replica.propose(commandNamed('small')).match(() => { outcomes.push(undefined) }, failure => { outcomes.push(failure) })
    for (const host of log.hosts) host.storage.release()
    await log.waitUntil('the small command', 2_000, () => outcomes.length === 301)
    expect(outcomes[300]).to.equal(undefined)
    leader.replica.propose(createSubmit(300)).match(() => { outcomes.push(undefined) }, failure => { outcomes.push(failure) })
    await log.waitUntil('another job', 2_000, () => outcomes.length === 302)
    expect(outcomes[301]).to.equal(undefined)
  })

  // After a failed sync the kernel may drop the unwritten pages, so a later successful sync proves nothing.
  it('stops the replica on a failed sync, and writes nothing afterwards', async () => {
    const { leader } = await startWithFollower(31)
    leader.storage.failing = true
    expect(await log.propose(leader, 'lost')).to.equal(false)
    expect(leader.lifecycle.cause?.reason).to.equal(FailureReason.Storage)
    leader.storage.failing = false
    const syncsBefore = leader.storage.syncs
    await log.clock.advance(5_000, 50)
    expect(leader.storage.syncs).to.equal(syncsBefore)
    expect(leader.replica.state.role).to.equal(ReplicaRole.Follower)
  })

  // Random interleavings of faults that the directed tests above don't cover. LOG_SEED and LOG_RUNS choose the runs.
  it('keeps acknowledged commands, once and in one order, under crashes, isolation, delays, lost responses and lost disks', async function () {
    const runs = Number(process.env.LOG_RUNS ?? 6)
    const firstSeed = Number(process.env.LOG_SEED ?? 1_000)
    for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
      await runFaultInjection(seed)
      if (seed < firstSeed + runs - 1) await log.close()
    }
    expect(totalDisksLost, 'lost disks').to.be.greaterThan(0)
    expect(totalAcknowledged, 'acknowledged commands').to.be.greaterThan(20 * runs)
  })

  let totalDisksLost = 0
  let totalAcknowledged = 0

  async function runFaultInjection (seed: number): Promise<void> {
    log = await startTestLog({ addresses, seed, compaction: { entries: 12, bytes: 1_000_000, maxBytes: 1_000_000, retained: 3, retainedBytes: 1_000_000 } })
    const random = createSeededRandom(seed + 1)
    const acknowledged: string[] = []
    const leaderOfTerm = new Map<number, string>()
    const crashed = new Set<TestHost>()
    let disksLost = 0
    // A second disk may be lost only after the first was replaced: two of three hosts hold a majority of the copies.
    const hasAllVoters = (): boolean => log.leaders().some(({ replica: { state } }) =>
      state.commitIndex >= membersIndexOf(state) && state.members.length === 3 && state.members.every(member =>
        member.standing === Standing.Voter && log.hosts.some(other => other.replica.state.identity === member.identity)))
    await log.waitForLeader()
    for (let step = 0; step < 60; step++) {
      const host = log.hosts[random.below(log.hosts.length)] as TestHost
      switch (random.below(8)) {
        case 0: if (crashed.size === 0) { await log.crash(host); crashed.add(host) } break
        case 1: for (const other of crashed) await log.restart(other); crashed.clear(); break
        case 2: log.network.isolated.add(host.address); break
        case 3: log.network.isolated.clear(); log.network.responsesDropped.clear(); break
        case 4: log.network.responsesDropped.add(host.address); break
        case 5: log.network.delayMs = random.below(300); break
        case 6: await log.clock.advance(random.below(2_000)); break
        case 7:
          if (crashed.size > 0 || !hasAllVoters()) break
          await log.crash(host)
          await log.restart(host, true)
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
    for (const other of crashed) await log.restart(other)
    log.network.isolated.clear()
    log.network.responsesDropped.clear()
    log.network.delayMs = 0
    const leader = await log.waitForLeader()
    await log.propose(leader, 'end')
    await log.waitUntil('the last command on all hosts', 20_000, () => log.hosts.every(host => host.applied.at(-1) === 'end'))
    for (const host of log.hosts) expect(host.applied, `${host.address}, seed ${seed}`).to.deep.equal(leader.applied)
    expect(new Set(leader.applied).size, `commands applied twice, seed ${seed}`).to.equal(leader.applied.length)
    for (const name of acknowledged) expect(leader.applied, `acknowledged, seed ${seed}`).to.include(name)
    totalAcknowledged += acknowledged.length
    totalDisksLost += disksLost
  }
})
