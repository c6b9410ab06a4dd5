import { expect } from 'chai'
import { votersOf } from '../src/process/log/election.ts'
import { maxLearnerLagMs } from '../src/process/log/membership.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { startTestLog, type TestHost, type TestLog } from './support/testLog.ts'

const addresses = ['a:1', 'b:1', 'c:1', 'd:1', 'e:1', 'f:1']
const voters = 5
const toleratedLosses = 2

/** Time after which a host that came back counts towards the tolerated losses no longer, in milliseconds. */
const catchUpMs = 6_000

/** Time within which the group works again after all hosts are back, in milliseconds. */
const recoveryMs = 15_000

const compaction = { entries: 20, bytes: 100_000_000, maxBytes: 100_000_000, retained: 5, retainedBytes: 1_000_000 }

describe('six control hosts that tolerate two lost disks', () => {
  let log: TestLog

  afterEach(() => log.close())

  function chooseHosts (random: { below (limit: number): number }, count: number): TestHost[] {
    const left = [...log.hosts]
    return Array.from({ length: count }, () => left.splice(random.below(left.length), 1)[0] as TestHost)
  }

  async function loseDisks (hosts: readonly TestHost[], alsoLosePower: readonly TestHost[]): Promise<void> {
    for (const host of new Set([...hosts, ...alsoLosePower])) await log.crash(host)
    for (const host of new Set([...hosts, ...alsoLosePower])) await log.restart(host, hosts.includes(host))
  }

  async function findAnyLeader (): Promise<TestHost> {
    await log.waitUntil('a leader', recoveryMs, () => log.leaders().length > 0)
    return log.leaders()[0] as TestHost
  }

  async function readAll (timeoutMs: number): Promise<string[]> {
    let applied: string[] | undefined
    let isReading = false
    await log.waitUntil('a confirmed read', timeoutMs, () => {
      const leader = log.leaders()[0]
      if (applied === undefined && leader !== undefined && !isReading) {
        isReading = true
        leader.replica.confirmRead().match(() => { applied = [...leader.applied] }, () => {}).finally(() => { isReading = false })
      }
      return applied !== undefined
    })
    return applied ?? []
  }

  // Guards against an acknowledgement that depends on the lost disks, and against a membership that cannot form a majority afterwards.
  for (let seed = 1; seed <= 12; seed++) {
    it(`lose no accepted command when two disks are lost again and again, the last time with the power of all hosts (seed ${seed})`, async () => {
      log = await startTestLog({ addresses, seed, voters, compaction })
      log.network.delayMs = 20
      const random = createSeededRandom(1_000 + seed)
      const accepted: string[] = []
      let number = 0
      async function proposeSome (): Promise<void> {
        for (let count = 2 + random.below(10); count > 0; count--) {
          const name = `command-${++number}`
          if (await log.propose(await findAnyLeader(), name)) accepted.push(name)
        }
      }
      for (let round = 0; round < 3; round++) {
        await proposeSome()
        await loseDisks(chooseHosts(random, 1 + random.below(toleratedLosses)), [])
        await proposeSome()
        await log.clock.advance(catchUpMs)
      }
      await proposeSome()
      await loseDisks(chooseHosts(random, toleratedLosses), log.hosts)
      const applied = await readAll(recoveryMs)
      expect(accepted.filter(name => !applied.includes(name))).to.deep.equal([])
      expect(votersOf(log.leaders()[0]?.replica.state.members ?? [])).to.have.length.above(2)
    })
  }

  // Failure: a learner counts as caught up only when a round takes less than an election timeout. On a slow connection no round does while
  // there are commands, so the group stayed at four voters, and the loss of two of them left no majority for good.
  it('form a majority when two disks are lost long after two others, whose hosts are on slow connections', async () => {
    log = await startTestLog({ addresses, seed: 21, voters })
    const leader = await log.waitForLeader()
    const accepted = ['first']
    expect(await log.propose(leader, 'first')).to.equal(true)
    const isLost = (host: TestHost): boolean => host !== leader && votersOf(leader.replica.state.members).some(member => member.address === host.address)
    const lost = log.hosts.filter(isLost).slice(0, toleratedLosses)
    for (const { address } of lost) log.network.entriesDelayMsTo.set(address, 750)
    await loseDisks(lost, [])
    for (const end = log.clock.now() + 5 * catchUpMs; log.clock.now() < end; await log.clock.advance(100)) {
      const name = `command-${log.clock.now()}`
      if (await log.propose(leader, name)) accepted.push(name)
    }
    const { members, commitIndex } = leader.replica.state
    const behind = lost.map(host => commitIndex - host.replica.state.commitIndex)
    const summary = `${votersOf(members).length} voters of ${members.length} members after ${5 * catchUpMs} ms; the returned hosts are ${behind.join(' and ')} entries behind`
    log.network.entriesDelayMsTo.clear()
    const lostNext = log.hosts.filter(host => !lost.includes(host) && isLost(host)).slice(0, toleratedLosses)
    await loseDisks(lostNext, log.hosts)
    const applied = await readAll(recoveryMs).catch((error: Error) => { throw new Error(`${error.message}; ${summary}`) })
    expect(accepted.filter(name => !applied.includes(name)), summary).to.deep.equal([])
  })

  // Guards against a voter that lacks most of the log: a learner that had caught up once stayed ready however far it fell behind.
  it('do not promote a learner that has fallen behind since it caught up', async () => {
    log = await startTestLog({ addresses, seed: 22, voters })
    const leader = await log.waitForLeader()
    const learner = log.hosts.find(host => !votersOf(leader.replica.state.members).some(member => member.address === host.address)) as TestHost
    for (let number = 0; number < 5; number++) expect(await log.propose(leader, `before-${number}`)).to.equal(true)
    await log.clock.advance(1_000)
    log.network.entriesDelayMsTo.set(learner.address, 60_000)
    for (let number = 0; number < 200; number++) expect(await log.propose(leader, `after-${number}`)).to.equal(true)
    await log.clock.advance(maxLearnerLagMs)
    const lost = log.hosts.find(host => host !== leader && host !== learner) as TestHost
    await loseDisks([lost], [])
    await log.clock.advance(2_000)
    const standing = leader.replica.state.members.find(member => member.address === learner.address)?.standing
    const behind = leader.replica.state.commitIndex - learner.replica.state.commitIndex
    expect(standing, `the learner lacks ${behind} committed entries`).to.equal('learner')
  })
})
