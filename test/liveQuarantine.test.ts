import { expect } from 'chai'
import type { CrashReport } from '../src/connection/share.ts'
import { Clock } from '../src/process/program/clock.ts'
import { Level } from '../src/process/program/logEvents.ts'
import { createLogger } from '../src/process/program/logger.ts'
import { countCrashes, crashRetentionMs, createQuarantine, createFingerprint, AttemptEnd, type Quarantine } from '../src/process/routing/quarantine.ts'
import { createSharedUpdates } from '../src/process/routing/sharedUpdates.ts'
import { eventually } from '../scripts/processes.ts'
import { startFakeBackendServer } from './support/fakeBackendServer.ts'
import { startSystem, type TestSystem } from './support/system.ts'
import { answerText, crashMark } from './standIn/standIn.ts'

class TestClock extends Clock {
  time = 0
  override now (): number { return this.time }
  override wallTime (): number { return this.time }
  override async sleep (): Promise<void> {}
}

function createHost (clock: Clock): { quarantine: Quarantine, reports: CrashReport[] } {
  const reports: CrashReport[] = []
  return { quarantine: createQuarantine({ clock, logger: createLogger('test', Level.Error), broadcast: report => { reports.push(report) } }), reports }
}

describe('quarantine', () => {
  // Guards against the quarantine of requests that only shared a backend server with the one that crashes it.
  it('blames the single earlier suspect of a crash, and everyone when there is none', () => {
    const counts = countCrashes([
      { at: 1, fingerprints: new Set(['poison', 'a', 'b']) },
      { at: 2, fingerprints: new Set(['poison', 'c', 'd']) }
    ])
    expect(counts.get('poison')?.blamed).to.equal(2)
    for (const innocent of ['a', 'b', 'c', 'd']) expect(counts.get(innocent)?.blamed ?? 0).to.be.at.most(1)
  })

  // Guards against blame for an innocent suspect that shared a backend server with a guilty one of another entry host.
  it('blames none of several suspects, but quarantines the one that is there every time', () => {
    const clock = new TestClock()
    const { quarantine } = createHost(clock)
    for (const [server, fingerprints] of [['x', ['poison', 'a', 'b']], ['y', ['poison', 'a']], ['z', ['poison', 'b']]] as const) {
      clock.time += 1_000
      for (const fingerprint of fingerprints) quarantine.recordCrashReport({ fingerprint, backendServer: server, incarnation: '1', ageMs: 0 })
    }
    expect(['poison', 'a', 'b'].map(quarantine.isQuarantined)).to.deep.equal([true, false, false])
  })

  // Guards against a batch item whose clean-up takes its broken connection back before the crash behind it is seen.
  it('keeps the first end of an attempt', () => {
    const { quarantine } = createHost(new TestClock())
    for (const server of ['x', 'y']) {
      const attempt = quarantine.registerAttempt('poison', server, '1')
      attempt.end(AttemptEnd.Broken)
      attempt.end(AttemptEnd.Other)
      quarantine.reportCrash(server, '1')
    }
    expect(quarantine.isQuarantined('poison')).to.equal(true)
  })

  // Guards against a lost report and against reports that circulate between hosts for ever.
  it('counts crashes that different hosts saw, and forwards only its own', () => {
    const clock = new TestClock()
    const [first, second] = [createHost(clock), createHost(clock)]
    for (const [host, server] of [[first, 'x'], [second, 'y']] as const) {
      clock.time += 1_000
      host.quarantine.registerAttempt('poison', server, '1').end(AttemptEnd.Broken)
      host.quarantine.reportCrash(server, '1')
      host.quarantine.reportCrash(server, '1')
    }
    expect(first.quarantine.isQuarantined('poison')).to.equal(false)
    for (const report of second.reports) first.quarantine.recordCrashReport(report)
    for (const report of first.reports) second.quarantine.recordCrashReport(report)
    expect(first.quarantine.isQuarantined('poison')).to.equal(true)
    expect(second.quarantine.isQuarantined('poison')).to.equal(true)
    expect([first.reports.length, second.reports.length]).to.deep.equal([1, 1])
    clock.time += crashRetentionMs
    expect(first.quarantine.isQuarantined('poison')).to.equal(false)
  })

  it('is shared as news with its age, so that it expires everywhere at the same time', () => {
    const clock = new TestClock()
    const updates = createSharedUpdates(clock)
    updates.addCrashReport({ fingerprint: 'poison', backendServer: 'x', incarnation: '1', ageMs: 0 })
    clock.time += 5_000
    expect(updates.createShareSince(0, 'host').crashes).to.deep.equal([{ fingerprint: 'poison', backendServer: 'x', incarnation: '1', ageMs: 5_000 }])
  })

  // Guards against blame for a suspect that was sent to a backend server just after it had crashed, and against a cut
  // connection long before a crash that hides the request which caused it.
  it('counts what was there at the crash, and nothing that began after it', () => {
    const clock = new TestClock()
    const { quarantine, reports } = createHost(clock)
    quarantine.registerAttempt('cut', 'x', '1').end(AttemptEnd.Broken)
    clock.time += 2_000
    const poison = quarantine.registerAttempt('poison', 'x', '1')
    quarantine.registerAttempt('open', 'x', '1')
    clock.time += 1
    poison.end(AttemptEnd.Broken)
    clock.time += 1
    quarantine.registerAttempt('late', 'x', '1')
    quarantine.reportCrash('x', '1')
    expect(reports.map(report => report.fingerprint)).to.deep.equal(['cut', 'poison', 'open'])
  })

  it('lets no two suspects run on one backend server, and clears a suspect whose answer is whole', () => {
    const { quarantine } = createHost(new TestClock())
    for (const fingerprint of ['a', 'b']) quarantine.registerAttempt(fingerprint, 'x', '1').end(AttemptEnd.Broken)
    quarantine.reportCrash('x', '1')
    const attempt = quarantine.registerAttempt('a', 'y', '1')
    expect(quarantine.canRun('b', 'y')).to.equal(false)
    expect(quarantine.canRun('b', 'z')).to.equal(true)
    expect(quarantine.canRun('c', 'y')).to.equal(true)
    attempt.end(AttemptEnd.Complete)
    expect(quarantine.canRun('b', 'y')).to.equal(true)
    quarantine.registerAttempt('a', 'y', '1').end(AttemptEnd.Broken)
    quarantine.reportCrash('y', '1')
    expect(quarantine.isQuarantined('a')).to.equal(false)
  })
})

describe('requests that crash backend servers', () => {
  let system: TestSystem

  beforeEach(async () => {
    system = await startSystem()
    await system.apply([{ name: 'assist', pool: 'assist' }], [{ name: 'assist' }])
  })

  afterEach(() => system.close())

  // Guards against a fleet that is crashed one backend server after the other.
  it('stops after two backend servers, completes the others, and refuses the request when it is sent again', async () => {
    const standIns = await Promise.all(Array.from({ length: 4 }, () => system.startStandIn({ tokenMs: 10 })))
    // A hundred first attempts save up the retries that both crashes need.
    for (let round = 0; round < 10; round++) {
      await Promise.all(Array.from({ length: 10 }, (_, number) => system.sendRequest('assist', { input: `warm ${round} ${number}`, maxTokens: 1 })))
    }
    const otherRequests = Array.from({ length: 8 }, (_, number) => system.sendRequest('assist', { input: `other ${number}`, maxTokens: 60 }))
    await eventually('all others in flight', 5_000, () => standIns.reduce((sum, standIn) => sum + standIn.running, 0) === 8 ? true : undefined)
    const poisonResponse = await system.sendRequest('assist', { input: crashMark, maxTokens: 5 })
    expect(poisonResponse.json().error).to.include({ reason: 'quarantined', execution: 'unknown' })
    for (const [number, response] of (await Promise.all(otherRequests)).entries()) {
      expect(response.json()).to.include({ text: answerText(`other ${number}`, 60) })
    }
    const otherHost = await system.startEntryHost()
    const otherHostResponse = await eventually('the refusal on another entry host', 5_000, async () => {
      const response = await system.sendRequest('assist', { input: 'not this one', maxTokens: 1 }, {}, otherHost.callerAddress)
      const fingerprint = createFingerprint('rothar', 'assist', crashMark)
      if (response.status !== 200 || otherHost.daemon.entryHost?.quarantine.isQuarantined(fingerprint) !== true) return undefined
      return await system.sendRequest('assist', { input: crashMark, maxTokens: 5 }, {}, otherHost.callerAddress)
    })
    expect(otherHostResponse.json().error).to.include({ reason: 'quarantined', execution: 'not run' })
    const repeatedResponse = await system.sendRequest('assist', { input: crashMark, maxTokens: 5 })
    expect(repeatedResponse.json().error).to.include({ reason: 'quarantined', execution: 'not run' })
    const crashes = standIns.flatMap(standIn => standIn.runs).filter(run => run.prompt === crashMark)
    expect(crashes.length).to.equal(2)
    for (let number = 0; number < 8; number++) {
      expect(system.daemon.entryHost?.quarantine.isQuarantined(createFingerprint('rothar', 'assist', `other ${number}`))).to.equal(false)
    }
  })

  // Guards against the quarantine of requests whose connections a network fault has cut.
  it('takes a broken connection alone for no crash', async () => {
    const fake = await startFakeBackendServer((_, response) => { response.destroy() })
    fake.announceTo(system)
    for (let number = 0; number < 3; number++) await system.sendRequest('assist', { input: 'innocent', maxTokens: 5 })
    expect(fake.requests.length).to.be.at.least(3)
    const { quarantine } = system.daemon.entryHost ?? expect.fail()
    expect(quarantine.isQuarantined(createFingerprint('rothar', 'assist', 'innocent'))).to.equal(false)
    await fake.close()
  })

  // Guards against a crash that goes unseen because the backend server was started again before anyone looked.
  it('takes a new incarnation with requests of the old one in flight for a crash', async () => {
    const fakes = await Promise.all([1, 2].map(() => startFakeBackendServer(() => {})))
    for (const fake of fakes) fake.announceTo(system)
    const pendingRequests = [1, 2].map(() => system.sendRequest('assist', { input: 'poison', maxTokens: 5 }, { 'jaychute-deadline-ms': '3000' }))
    await eventually('both in flight', 2_000, () => fakes.reduce((sum, fake) => sum + fake.requests.length, 0) === 2 ? true : undefined)
    for (const fake of fakes) fake.announceTo(system, { incarnation: '2', sequence: 1 })
    const { quarantine } = system.daemon.entryHost ?? expect.fail()
    expect(fakes.map(fake => fake.requests.length)).to.deep.equal([1, 1])
    expect(quarantine.isQuarantined(createFingerprint('rothar', 'assist', 'poison'))).to.equal(true)
    await Promise.all(pendingRequests)
    for (const fake of fakes) await fake.close()
  })
})
