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
import { responseText, crashMarker } from './standIn/standIn.ts'

class TestClock extends Clock {
  time = 0
  override now (): number { return this.time }
  override wallTime (): number { return this.time }
  override async sleep (): Promise<void> {}
}

function createReportingQuarantine (clock: Clock): { quarantine: Quarantine, reports: CrashReport[] } {
  const reports: CrashReport[] = []
  return { quarantine: createQuarantine({ clock, logger: createLogger('test', Level.Error), broadcast: report => { reports.push(report) } }), reports }
}

describe('quarantine', () => {
  // Guards against quarantining requests that only shared a backend server with the one that crashes it.
  it('blames the single earlier suspect of a crash, and all requests in flight when there is none', () => {
    const counts = countCrashes([
      { at: 1, fingerprints: new Set(['poison', 'a', 'b']) },
      { at: 2, fingerprints: new Set(['poison', 'c', 'd']) }
    ])
    expect(counts.get('poison')?.blamed).to.equal(2)
    for (const other of ['a', 'b', 'c', 'd']) expect(counts.get(other)?.blamed ?? 0).to.be.at.most(1)
  })

  // Guards against blaming a suspect that shared a backend server with the cause, sent there by another entry host.
  it('blames none of several suspects, but quarantines the one that is present at every crash', () => {
    const clock = new TestClock()
    const { quarantine } = createReportingQuarantine(clock)
    for (const [server, fingerprints] of [['x', ['poison', 'a', 'b']], ['y', ['poison', 'a']], ['z', ['poison', 'b']]] as const) {
      clock.time += 1_000
      for (const fingerprint of fingerprints) quarantine.recordCrashReport({ fingerprint, backendServer: server, incarnation: '1', ageMs: 0 })
    }
    expect(['poison', 'a', 'b'].map(quarantine.isQuarantined)).to.deep.equal([true, false, false])
  })

  // Guards against a batch item whose clean-up overwrites the broken connection before the crash that caused it is detected.
  it('keeps the first recorded end of an attempt', () => {
    const { quarantine } = createReportingQuarantine(new TestClock())
    for (const server of ['x', 'y']) {
      const attempt = quarantine.registerAttempt('poison', server, '1')
      attempt.end(AttemptEnd.Broken)
      attempt.end(AttemptEnd.Other)
      quarantine.reportCrash(server, '1')
    }
    expect(quarantine.isQuarantined('poison')).to.equal(true)
  })

  // Guards against lost crash reports, and against reports that circulate between hosts without end.
  it('counts crashes that different hosts detected, and broadcasts only its own', () => {
    const clock = new TestClock()
    const [first, second] = [createReportingQuarantine(clock), createReportingQuarantine(clock)]
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

  // Guards against crash reports that live longer on hosts that receive them later.
  it('shares crash reports with their age, so that they expire on all hosts at the same time', () => {
    const clock = new TestClock()
    const updates = createSharedUpdates(clock)
    updates.addCrashReport({ fingerprint: 'poison', backendServer: 'x', incarnation: '1', ageMs: 0 })
    clock.time += 5_000
    expect(updates.createShareSince(0, 'host').crashes).to.deep.equal([{ fingerprint: 'poison', backendServer: 'x', incarnation: '1', ageMs: 5_000 }])
  })

  // Guards against blaming a request that was sent just after the backend server had crashed, and against a connection
  // that broke long before the crash and hides the request which caused it.
  it('counts attempts that started before the crash, and none that started after it', () => {
    const clock = new TestClock()
    const { quarantine, reports } = createReportingQuarantine(clock)
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

  // Guards against a crash with two suspects, which identifies neither as the cause, and against suspicion that never ends.
  it('allows at most one suspect at a time on a backend server, and clears a suspect whose response is complete', () => {
    const { quarantine } = createReportingQuarantine(new TestClock())
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

  // Guards against a request whose retries crash one backend server of the fleet after the other.
  it('are stopped after two backend servers and refused when sent again, while other requests complete', async () => {
    const standIns = await Promise.all(Array.from({ length: 4 }, () => system.startStandIn({ tokenMs: 10 })))
    // 100 first attempts save the retries that the two crashes need.
    for (let round = 0; round < 10; round++) {
      await Promise.all(Array.from({ length: 10 }, (_, number) => system.sendRequest('assist', { input: `warm ${round} ${number}`, maxTokens: 1 })))
    }
    const otherRequests = Array.from({ length: 8 }, (_, number) => system.sendRequest('assist', { input: `other ${number}`, maxTokens: 60 }))
    await eventually('all others in flight', 5_000, () => standIns.reduce((sum, standIn) => sum + standIn.running, 0) === 8 ? true : undefined)
    const poisonResponse = await system.sendRequest('assist', { input: crashMarker, maxTokens: 5 })
    expect(poisonResponse.json().error).to.include({ reason: 'quarantined', execution: 'unknown' })
    for (const [number, response] of (await Promise.all(otherRequests)).entries()) {
      expect(response.json()).to.include({ text: responseText(`other ${number}`, 60) })
    }
    const otherHost = await system.startEntryHost()
    const otherHostResponse = await eventually('the refusal on another entry host', 5_000, async () => {
      const response = await system.sendRequest('assist', { input: 'not this one', maxTokens: 1 }, {}, otherHost.callerAddress)
      const fingerprint = createFingerprint('rothar', 'assist', crashMarker)
      if (response.status !== 200 || otherHost.daemon.entryHost?.quarantine.isQuarantined(fingerprint) !== true) return undefined
      return await system.sendRequest('assist', { input: crashMarker, maxTokens: 5 }, {}, otherHost.callerAddress)
    })
    expect(otherHostResponse.json().error).to.include({ reason: 'quarantined', execution: 'not run' })
    const repeatedResponse = await system.sendRequest('assist', { input: crashMarker, maxTokens: 5 })
    expect(repeatedResponse.json().error).to.include({ reason: 'quarantined', execution: 'not run' })
    const crashes = standIns.flatMap(standIn => standIn.runs).filter(run => run.prompt === crashMarker)
    expect(crashes.length).to.equal(2)
    for (let number = 0; number < 8; number++) {
      expect(system.daemon.entryHost?.quarantine.isQuarantined(createFingerprint('rothar', 'assist', `other ${number}`))).to.equal(false)
    }
  })

  // Guards against quarantining requests whose connections were broken by a network fault.
  it('are not assumed from a broken connection alone', async () => {
    const fake = await startFakeBackendServer((_, response) => { response.destroy() })
    fake.announceTo(system)
    for (let number = 0; number < 3; number++) await system.sendRequest('assist', { input: 'innocent', maxTokens: 5 })
    expect(fake.requests.length).to.be.at.least(3)
    const { quarantine } = system.daemon.entryHost ?? expect.fail()
    expect(quarantine.isQuarantined(createFingerprint('rothar', 'assist', 'innocent'))).to.equal(false)
    await fake.close()
  })

  // Guards against a crash that is not detected because the backend server restarted before it was inspected.
  it('are assumed from a new incarnation while requests of the old one are in flight', async () => {
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
