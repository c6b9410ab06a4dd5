import { expect } from 'chai'
import { createSeededRandom } from '../src/process/program/random.ts'
import { runCompaction } from '../src/process/log/compaction.ts'
import { done } from '../src/process/state/commands.ts'
import { createCore, type ReplicaInputs } from '../src/process/log/replicaState.ts'
import { commit } from '../src/process/log/replicaCommit.ts'
import { minElectionTimeoutMs } from '../src/process/log/election.ts'
import { type Entry, emptyPoint, PayloadKind, type SnapshotPoint } from '../src/process/log/storage.ts'
import { FakeClock, runPendingTasks } from './support/fakeClock.ts'
import { MemoryStorage } from './support/memoryStorage.ts'
import { commandNamed, startTestLog, type TestHost, type TestLog } from './support/testLog.ts'

const addresses = ['a:1', 'b:1', 'c:1']
const compaction = { entries: 20, bytes: 100_000_000, retained: 5 }

describe('snapshots of the log', () => {
  let log: TestLog

  afterEach(() => log.close())

  async function write (leader: TestHost, count: number, text = ''): Promise<string[]> {
    const names = Array.from({ length: count }, (_, number) => `${leader.replica.state.commitIndex}-${number}${text}`)
    for (const name of names) expect(await log.propose(leader, name)).to.equal(true)
    return names
  }

  it('bound the entries in memory and on disk, and a restart loses nothing', async () => {
    log = await startTestLog({ addresses, seed: 41, compaction })
    const leader = await log.untilLeader()
    const names = await write(leader, 200)
    for (const host of log.hosts) {
      expect(host.replica.state.entries.length, host.address).to.be.lessThan(2 * compaction.entries)
      expect(host.storage.records.length, host.address).to.be.lessThan(2 * compaction.entries + 5)
    }
    for (const host of log.hosts) await log.crash(host)
    for (const host of log.hosts) await log.revive(host)
    const next = await log.untilLeader()
    expect(await log.propose(next, 'last')).to.equal(true)
    expect(next.applied).to.deep.equal([...names, 'last'])
    expect(next.replica.state.members, 'the membership comes from the snapshot').to.have.length(3)
  })

  it('are sent in pieces to a follower that is behind the log', async () => {
    log = await startTestLog({ addresses, seed: 42, compaction })
    const leader = await log.untilLeader()
    const follower = log.hosts.find(host => host !== leader) as TestHost
    await log.crash(follower)
    const names = await write(leader, 60, 'x'.repeat(20_000))
    const offsets: number[] = []
    log.network.observe = (kind, _from, to, request) => {
      if (kind === 'snapshot' && to === follower.address && request.bytes !== '') offsets.push(request.offset)
    }
    await log.revive(follower)
    await log.until('the follower has everything', 20_000, () => follower.applied.length === names.length)
    expect(follower.applied).to.deep.equal(names)
    expect(offsets.length).to.be.greaterThan(2)
    expect(offsets).to.deep.equal([...offsets].sort((left, right) => left - right))
    await log.crash(follower)
    await log.revive(follower)
    expect(follower.applied.length, 'the installed snapshot is durable').to.be.greaterThan(30)
  })

  it('are sent again from the start when the piece after the first is lost with a crash', async () => {
    log = await startTestLog({ addresses, seed: 43, compaction })
    const leader = await log.untilLeader()
    const follower = log.hosts.find(host => host !== leader) as TestHost
    await log.crash(follower)
    const names = await write(leader, 60, 'x'.repeat(20_000))
    await log.revive(follower)
    let pieces = 0
    log.network.observe = (kind, _from, to) => {
      if (kind === 'snapshot' && to === follower.address && ++pieces === 2) log.network.swallowed.add(follower.address)
    }
    await log.until('two pieces', 10_000, () => pieces >= 2)
    await log.crash(follower)
    log.network.swallowed.clear()
    await log.revive(follower)
    await log.until('the follower has everything', 20_000, () => follower.applied.length === names.length)
    expect(follower.applied).to.deep.equal(names)
  })

  it('replace a log that disagrees with them', async () => {
    log = await startTestLog({ addresses, seed: 44, compaction })
    const leader = await log.untilLeader()
    await write(leader, 3)
    log.network.swallowed.add(leader.address)
    for (let number = 0; number < 10; number++) leader.replica.propose(commandNamed(`old-${number}`)).unwrapOr(done).then(() => {}, () => {})
    const rest = log.hosts.filter(host => host !== leader)
    await log.clock.advance(2_000)
    const next = await log.untilLeader(rest)
    await write(next, 80)
    log.network.swallowed.clear()
    await log.until('the old leader has the new log', 20_000, () => leader.applied.length === next.applied.length)
    expect(leader.applied).to.deep.equal(next.applied)
    expect(leader.applied.some(name => name.startsWith('old'))).to.equal(false)
  })

  it('are of one point of the log, and their export lets messages through', async () => {
    log = await startTestLog({ addresses: ['a:1'], seed: 45 })
    const clock = new FakeClock()
    const random = createSeededRandom(45)
    const parts = 500
    const partMs = 5
    const applied: string[] = []
    const exported: number[] = []
    let longestMs = 0
    let sliceStart = 0
    const saved: SnapshotPoint[] = []
    const storage = new MemoryStorage('a')
    const save = storage.saveSnapshot.bind(storage)
    storage.saveSnapshot = (point, encoded, kept) => {
      saved.push(point)
      return save(point, encoded, kept)
    }
    const inputs = {
      address: 'a:1',
      clock,
      random,
      storage,
      compaction: { entries: 10, bytes: 1_000_000, retained: 0 },
      logger: { write () {} },
      lifecycle: { fail (failure: Error) { throw failure } },
      apply (command: { upload: string }) {
        applied.push(command.upload)
        return done
      },
      * exportParts () {
        for (let part = 0; part < parts; part++) {
          clock.jump(partMs)
          longestMs = Math.max(longestMs, clock.now() - sliceStart)
          exported.push(applied.length)
          yield { part }
        }
      }
    } as unknown as ReplicaInputs
    const entries: Entry[] = Array.from({ length: 30 }, (_, position) => ({
      index: position + 1, term: 1, payload: { kind: PayloadKind.Command, command: commandNamed(`${position}`) }
    }))
    const core = createCore(inputs, { identity: 'a', term: 1, votedFor: undefined, snapshot: { point: emptyPoint, parts: [] }, entries })
    commit(core, 10)
    const controller = new AbortController()
    const task = runCompaction(core, controller.signal)
    let next = 11
    while (saved.length === 0) {
      sliceStart = clock.now()
      await new Promise<void>(resolve => setImmediate(resolve))
      if (next <= 30) commit(core, next++)
    }
    await runPendingTasks()
    controller.abort()
    core.state.changed.notify()
    await task
    expect(saved[0]?.index).to.equal(10)
    expect(new Set(exported.slice(0, parts)), 'commands applied during the export').to.deep.equal(new Set([10]))
    expect(longestMs, 'longest time without a turn for messages').to.be.lessThan(minElectionTimeoutMs)
    expect(core.state.appliedIndex, 'commands committed during the export are applied after it').to.equal(30)
  })
})
