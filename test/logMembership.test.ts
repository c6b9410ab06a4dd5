import { expect } from 'chai'
import { minElectionTimeoutMs } from '../src/process/log/election.ts'
import { LogEvents } from '../src/process/program/logEvents.ts'
import { ChangeKind, decideChange, maxMembers } from '../src/process/log/membership.ts'
import { Standing } from '../src/process/log/storage.ts'
import { startTestLog, type TestHost, type TestLog } from './support/testLog.ts'

const addresses = ['a:1', 'b:1', 'c:1']

function standingOf (host: TestHost, address: string): Standing | undefined {
  return host.replica.state.members.find(member => member.address === address)?.standing
}

function countPromotions (log: TestLog): number {
  return log.hosts.flatMap(host => host.events).filter(({ event }) => event === LogEvents.memberPromoted).length
}

describe('membership of the log', () => {
  let log: TestLog

  afterEach(() => log.close())

  // A new identity that becomes a voter beside the lost one raises the majority to three of four voters, one of which is
  // lost; one that becomes a voter before it has caught up counts towards majorities without holding the entries.
  it('removes a lost identity first, adds the new one as a learner and promotes it when caught up', async () => {
    log = await startTestLog({ addresses, seed: 11 })
    const leader = await log.waitForLeader()
    for (const name of ['one', 'two', 'three']) expect(await log.propose(leader, name)).to.equal(true)
    const lost = log.hosts.find(host => host !== leader) as TestHost
    const oldIdentity = lost.replica.state.identity
    const memberships: string[] = []
    const follower = log.hosts.find(host => host !== leader && host !== lost) as TestHost
    log.network.observe = (kind, from, to, request) => {
      if (kind !== 'append' || from !== leader.address || to !== follower.address) return
      for (const entry of request.entries) {
        if (entry.payload.kind !== 'members') continue
        const text = entry.payload.members.map((member: any) => `${member.identity} ${member.standing}`).sort().join(', ')
        if (memberships.at(-1) !== text) memberships.push(text)
      }
    }
    await log.crash(lost)
    await log.restart(lost, true)
    const newIdentity = lost.replica.state.identity
    await log.waitUntil('the promotion', 20_000, () => countPromotions(log) === 1)
    const others = log.hosts.filter(host => host !== lost).map(host => host.replica.state.identity).sort()
    expect(newIdentity).to.not.equal(oldIdentity)
    const voters = others.map(identity => `${identity} voter`)
    expect(memberships.slice(-3)).to.deep.equal([
      voters.join(', '),
      [...voters, `${newIdentity} learner`].sort().join(', '),
      [...voters, `${newIdentity} voter`].sort().join(', ')
    ])
    expect(lost.applied).to.deep.equal(['one', 'two', 'three'])
  })

  // A promotion that is logged before the new voter has all committed entries allows an operator to stop a second host,
  // and with it the last copy of some of them.
  it('keeps all committed commands when a second host is lost right after the promotion of a replaced one', async () => {
    log = await startTestLog({ addresses, seed: 12 })
    const leader = await log.waitForLeader()
    const names = Array.from({ length: 30 }, (_, number) => `change-${number}`)
    for (const name of names) expect(await log.propose(leader, name)).to.equal(true)
    const replaced = log.hosts.find(host => host !== leader) as TestHost
    await log.crash(replaced)
    await log.restart(replaced, true)
    await log.waitUntil('the promotion', 20_000, () => countPromotions(log) === 1)
    await log.crash(leader)
    const remaining = log.hosts.filter(host => host !== leader)
    const next = await log.waitForLeader(remaining)
    expect(await log.propose(next, 'last')).to.equal(true)
    expect(next.applied).to.deep.equal([...names, 'last'])
  })

  // A learner whose disk is blocked accepts connections but syncs no entry; as a voter it would count towards a majority
  // that it cannot support.
  it('does not promote a learner that has not caught up, and logs no promotion', async () => {
    log = await startTestLog({ addresses, seed: 13 })
    const leader = await log.waitForLeader()
    expect(await log.propose(leader, 'one')).to.equal(true)
    const lost = log.hosts.find(host => host !== leader) as TestHost
    await log.crash(lost)
    await log.restart(lost, true)
    lost.storage.hold()
    await log.waitUntil('the learner in the membership', 20_000, () => standingOf(leader, lost.address) === Standing.Learner)
    await log.clock.advance(10_000)
    expect(standingOf(leader, lost.address)).to.equal(Standing.Learner)
    expect(countPromotions(log)).to.equal(0)
    lost.storage.release()
    await log.waitUntil('the promotion', 20_000, () => countPromotions(log) === 1)
  })

  // Without the limits, every host that asks to join becomes a member, and each promotion above the target raises the
  // majority that a commit needs.
  it('adds hosts with new addresses up to seven members and promotes none above the number of voters', async () => {
    log = await startTestLog({ addresses, seed: 14 })
    const leader = await log.waitForLeader()
    const added: TestHost[] = []
    for (const address of ['d:1', 'e:1', 'f:1', 'g:1']) added.push(await log.start(address))
    await log.waitUntil('seven members', 30_000, () => leader.replica.state.members.length === 7)
    const refused = await log.start('h:1')
    await log.clock.advance(5_000)
    expect(leader.replica.state.members).to.have.length(7)
    expect(refused.replica.state.members).to.have.length(0)
    expect(added.map(host => standingOf(leader, host.address))).to.deep.equal(Array(4).fill(Standing.Learner))
    expect(leader.events.some(({ event }) => event === LogEvents.joinRefused)).to.equal(true)
  })

  // Two changes at once could give the old and the new membership majorities without a common voter.
  it('promotes learners up to a target of five voters, one committed change at a time', async () => {
    log = await startTestLog({ addresses, seed: 15, voters: 5 })
    const leader = await log.waitForLeader()
    let mostMembersChanged = 0
    let latestMembers = leader.replica.state.members
    let previousMembers = latestMembers
    log.network.observe = () => {
      const { members } = leader.replica.state
      if (members === previousMembers) return
      const names = new Set(previousMembers.map(member => `${member.identity} ${member.standing}`))
      const changedCount = members.filter(member => !names.has(`${member.identity} ${member.standing}`)).length
      mostMembersChanged = Math.max(mostMembersChanged, changedCount)
      previousMembers = members
    }
    await log.start('d:1')
    await log.start('e:1')
    await log.waitUntil('five voters', 30_000, () => {
      latestMembers = leader.replica.state.members
      return latestMembers.filter(member => member.standing === Standing.Voter).length === 5
    })
    expect(mostMembersChanged).to.equal(1)
  })

  // Requests to join stay pending for seconds, so the membership may have filled up since one was accepted.
  it('adds no eighth member, even when its request was accepted while there were fewer', async () => {
    log = await startTestLog({ addresses, seed: 17 })
    const members = Array.from({ length: maxMembers }, (_, number) => (
      { identity: `${number}`, address: `${number}:1`, availabilityZone: 'zone-a', standing: Standing.Voter }))
    const joiningHosts = [{ identity: 'new', address: 'new:1', availabilityZone: 'zone-a' }]
    const view = { self: '0', joiningHosts, ready: new Set<string>(), silent: new Set<string>(), voters: 5 }
    expect(decideChange({ ...view, members })).to.equal(undefined)
    expect(decideChange({ ...view, members: members.slice(1) })?.kind).to.equal(ChangeKind.Add)
  })

  // A wrong or forged request under the address of a running member would remove a healthy voter.
  it('does not remove a member on a request to join that the host at its address does not confirm', async () => {
    log = await startTestLog({ addresses, seed: 16 })
    const leader = await log.waitForLeader()
    const existing = log.hosts.find(host => host !== leader) as TestHost
    const response = leader.replica.handleJoin({ identity: 'stranger', address: existing.address, availabilityZone: 'zone-a' })
    expect(response.isOk()).to.equal(true)
    await log.clock.advance(3_000)
    expect(leader.replica.state.members.map(member => member.identity)).to.include(existing.replica.state.identity)
  })

  // Guards against three voters after two lost disks, of which the loss of two more leaves no majority, while another host is ready to vote.
  it('promotes a learner that is ready before it removes or adds further identities', () => {
    const members = ['a', 'b', 'c', 'd'].map(identity => ({ identity, address: `${identity}:1`, availabilityZone: 'z', standing: Standing.Voter }))
    const learner = { identity: 'f', address: 'f:1', availabilityZone: 'z', standing: Standing.Learner }
    const joiningHosts = [{ identity: 'new', address: 'b:1', availabilityZone: 'z' }, { identity: 'other', address: 'e:1', availabilityZone: 'z' }]
    const view = { self: 'a', members: [...members, learner], joiningHosts, ready: new Set(['f']), silent: new Set<string>(), voters: 5 }
    expect(decideChange(view)).to.deep.equal({ kind: ChangeKind.Promote, member: learner })
    expect(decideChange({ ...view, ready: new Set() })?.kind).to.equal(ChangeKind.RemoveReplaced)
  })

  // Guards against a leader that changes the membership no more, since it waits for a promoted member that has lost its disk.
  it('replaces a host that loses its disk again right before its promotion', async () => {
    log = await startTestLog({ addresses, seed: 18 })
    const leader = await log.waitForLeader()
    expect(await log.propose(leader, 'one')).to.equal(true)
    const lost = log.hosts.find(host => host !== leader) as TestHost
    await log.crash(lost)
    await log.restart(lost, true)
    const { identity } = lost.replica.state
    await log.waitUntil('a learner that has caught up', 20_000, () => log.clock.now() - (leader.replica.state.progress.get(identity)?.caughtUpAt ?? -Infinity) < minElectionTimeoutMs)
    await log.crash(lost)
    await log.waitUntil('the promotion of the lost identity', 1_000, () => standingOf(leader, lost.address) === Standing.Voter)
    await log.restart(lost, true)
    await log.waitUntil('the promotion of the new identity', 20_000, () => countPromotions(log) === 1)
    const voters = leader.replica.state.members.filter(member => member.standing === Standing.Voter)
    expect(voters.map(member => member.identity)).to.have.members(log.hosts.map(host => host.replica.state.identity))
    expect(lost.applied).to.deep.equal(['one'])
  })

  // Guards against a request to join of a host that has gone, which delays the return of another one until it expires.
  it('adds a host while a request to join that nobody confirms is pending', async () => {
    log = await startTestLog({ addresses, seed: 19 })
    const leader = await log.waitForLeader()
    const existing = log.hosts.find(host => host !== leader) as TestHost
    leader.replica.handleJoin({ identity: 'stranger', address: existing.address, availabilityZone: 'zone-a' })
    leader.replica.handleJoin({ identity: 'new', address: 'd:1', availabilityZone: 'zone-a' })
    await log.waitUntil('the new member', 2_000, () => standingOf(leader, 'd:1') === Standing.Learner)
  })

  // Guards against a host that returns late because a listed host is gone: each request to that one takes until its timeout.
  it('adds a host that has lost its disk at once while a listed host does not respond', async () => {
    log = await startTestLog({ addresses: [...addresses, 'd:1'], seed: 20 })
    const leader = await log.waitForLeader()
    const [lost, gone] = log.hosts.filter(host => host !== leader) as [TestHost, TestHost]
    const learner = log.hosts.find(host => standingOf(leader, host.address) === Standing.Learner) as TestHost
    await log.crash(lost === learner ? gone : lost)
    log.network.isolated.add(learner.address)
    const returning = lost === learner ? gone : lost
    await log.restart(returning, true)
    await log.waitUntil('the learner in the membership', 700, () => leader.replica.state.members.some(member => member.identity === returning.replica.state.identity))
  })

  // Guards against a host that never asks to join, since its task waits without end for a call that has ended in an unexpected error.
  it('fails the task of a host that joins when a call ends in an unexpected error', async () => {
    log = await startTestLog({ addresses, seed: 21 })
    await log.waitForLeader()
    log.network.observe = (kind, from) => {
      if (kind === 'identify' && from === 'd:1') throw new Error('unexpected')
    }
    const joining = await log.start('d:1')
    await log.waitUntil('the failed task', 2_000, () => joining.lifecycle.cause !== undefined)
    expect(joining.lifecycle.cause?.message).to.match(/task failed: Error: unexpected/)
  })
})
