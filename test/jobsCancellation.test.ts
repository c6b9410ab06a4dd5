import { expect } from 'chai'
import type { Result } from 'neverthrow'
import { eventually } from '../scripts/processes.ts'
import { CommandKind, Ending, type Grant, type Outcome, OutcomeKind } from '../src/process/state/commands.ts'
import type { ControlHost } from '../src/process/state/controlHost.ts'
import { type Failure, FailureReason } from '../src/process/program/failure.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createEntrySide, host, yieldToEventLoop } from './support/entrySide.ts'
import { MemoryStorage } from './support/memoryStorage.ts'
import { tables } from './support/stateCommands.ts'
import { FakeClock } from './support/fakeClock.ts'
import { startTestControl } from './support/testControl.ts'

const granted: Grant = {
  job: 'j', position: 0, grant: 1, route: 'r', account: 'a', item: { name: 'i', input: 'i', maxTokens: 1, priority: 1 }, partial: '', offset: 0, attempts: 0
}
const grants: Outcome = { kind: OutcomeKind.Grants, grants: [granted] }

describe('a cancelled job on an entry host', () => {
  let side: ReturnType<typeof createEntrySide>
  afterEach(() => side.end.abort())

  // The grant was made before the cancellation, and its answer comes after this host has reported that it stopped.
  it('is not sent when the grant is received after the cancellation', async () => {
    side = createEntrySide()
    const claimed = await side.dispatchUntilClaim()
    await side.answerPoll({ cancelledJobs: ['j'], appliedIndex: 9 })
    const report = await side.answerPoll({ cancelledJobs: ['j'], appliedIndex: 9 })
    expect(report).to.deep.include({ stoppedIndex: 9, knownCancelled: ['j'] })
    claimed(grants)
    await eventually('the return', 2_000, () => side.requeued[0])
    expect(side.sent).to.deep.equal([])
  })

  // Control took the grant back after 5 s and answered the cancellation; its later answers don't name the job any more.
  for (const [name, pass] of [['was cut off', 'advance'], ['was frozen', 'jump']] as const) {
    it(`is not sent by a host that ${name} between claim and grant`, async () => {
      side = createEntrySide()
      const claimed = await side.dispatchUntilClaim()
      await side.clock[pass](6_000)
      await side.answerPoll()
      await side.answerPoll()
      expect(side.stream.session.isAlive(side.clock.now())).to.equal(true)
      claimed(grants)
      await eventually('the return', 2_000, () => side.requeued[0])
      expect(side.sent).to.deep.equal([])
    })
  }

  it('is not sent when the start of a non-idempotent item is refused', async () => {
    side = createEntrySide(false)
    const claimed = await side.dispatchUntilClaim()
    claimed(grants)
    const started = await side.waitForCommand(CommandKind.Start)
    started({ kind: OutcomeKind.Started, accepted: [false] })
    await eventually('the return', 2_000, () => side.requeued[0])
    expect(side.sent).to.deep.equal([])
  })

  // A claim to control that hangs must not keep streams alive beyond the session.
  it('has its streams cancelled when the session lapses', async () => {
    side = createEntrySide()
    const claimed = await side.dispatchUntilClaim()
    claimed(grants)
    await eventually('the sent item', 2_000, () => side.sent[0])
    await side.clock.advance(4_001)
    await eventually('the cancelled stream', 2_000, () => side.stopped[0])
  })

  // A backend server that does not react to the end of a stream would otherwise cost the host its whole session.
  it('leaves polls going while its streams stop, and is reported only then', async () => {
    let finish = (): void => {}
    side = createEntrySide(true, () => new Promise<void>(resolve => { finish = resolve }))
    await side.answerPoll({ cancelledJobs: ['j'], appliedIndex: 9 })
    await side.clock.advance(500)
    expect((await side.answerPoll({ cancelledJobs: ['j'], appliedIndex: 9 })).stoppedIndex).to.equal(0)
    finish()
    await yieldToEventLoop()
    await side.answerPoll({ cancelledJobs: ['j'], appliedIndex: 9 })
    expect((await side.answerPoll()).stoppedIndex).to.equal(9)
  })
})

describe('a job at control, cancelled or with its holder lost', () => {
  let lifecycles: Lifecycle[] = []
  afterEach(async () => {
    for (const lifecycle of lifecycles) await lifecycle.close()
    lifecycles = []
  })

  function startControl (clock: FakeClock, storage: MemoryStorage): Promise<ControlHost> {
    const lifecycle = createLifecycle()
    lifecycles.push(lifecycle)
    return startTestControl(clock, storage, lifecycle)
  }

  async function poll (control: ControlHost, stoppedIndex: number): Promise<void> {
    const request = {
      entryHost: { ...host, holder: 'h' }, version: 1, stoppedIndex, knownCancelled: [], directoryRevision: '', immediate: true
    }
    expect((await control.watch(request)).isOk()).to.equal(true)
  }

  async function grantOne (control: ControlHost): Promise<void> {
    const items = [{ name: 'i', input: 'i', maxTokens: 1, priority: 1 }] as const
    await poll(control, 0)
    for (const command of [
      { kind: CommandKind.Apply, operation: 'o', expected: 0, tables },
      { kind: CommandKind.AcquireLease, backendServer: 'b', holder: 'h', expected: 0 },
      { kind: CommandKind.OpenUpload, upload: 'j', account: 'a', key: 'k', route: 'r', due: 0, time: 0 },
      { kind: CommandKind.AppendItems, upload: 'j', sequence: 0, items, time: 0 },
      { kind: CommandKind.Seal, upload: 'j', account: 'a', key: 'k', digest: 'd', count: 1, time: 0 },
      { kind: CommandKind.Claim, backendServer: 'b', holder: 'h', lease: 1, sequence: 1, pool: 'p', count: 1 }
    ] as const) expect((await control.execute(command)).isOk()).to.equal(true)
    expect(control.state.jobs.held.get('h')?.size).to.equal(1)
  }

  it('is answered only after the holder has reported that it stopped', async () => {
    const clock = new FakeClock()
    const control = await startControl(clock, new MemoryStorage('memory'))
    await grantOne(control)
    let outcome: Result<Outcome, Failure> | undefined
    control.execute({ kind: CommandKind.CancelJob, job: 'j' }).then(result => { outcome = result }, () => {})
    await eventually('the cancellation', 2_000, () => control.state.jobs.jobs.get('j')?.cancelled === true ? true : undefined)
    await poll(control, control.replica.state.appliedIndex - 1)
    await yieldToEventLoop()
    expect(outcome).to.equal(undefined)
    await poll(control, control.replica.state.appliedIndex)
    expect((await eventually('the answer', 2_000, () => outcome)).isOk()).to.equal(true)
  })

  // Items of a lost host would otherwise wait for ever, and its lease block the backend server.
  it('loses its holder, and items and lease come back, within 6 s without a poll', async () => {
    const clock = new FakeClock()
    const control = await startControl(clock, new MemoryStorage('memory'))
    await grantOne(control)
    for (let step = 0; step < 12; step++) {
      await clock.advance(500)
      await yieldToEventLoop()
    }
    await eventually('the expiry', 2_000, () => control.state.jobs.held.size === 0 ? true : undefined)
    expect(control.state.leases.get('b')?.holder).to.equal(undefined)
    expect(control.state.jobs.jobs.get('j')?.waiting.firstPriority()).to.equal(1)
  })

  // An answer would be a promise that nothing runs any more, while the holder still polls without having stopped.
  it('is reported as a timeout when a live holder does not stop', async () => {
    const clock = new FakeClock()
    const control = await startControl(clock, new MemoryStorage('memory'))
    await grantOne(control)
    const cancelled = control.execute({ kind: CommandKind.CancelJob, job: 'j' })
    for (let second = 0; second < 8; second++) {
      await yieldToEventLoop()
      await poll(control, 0)
      await clock.advance(1_000)
    }
    const outcome = await cancelled
    expect(outcome.isErr() && outcome.error.reason).to.equal(FailureReason.Timeout)
  })

  // The new leader has no sessions; it must not take the silence of the holder for its end.
  it('waits for its holder under a new leader, and its lease stays with the holder', async () => {
    const clock = new FakeClock()
    const storage = new MemoryStorage('memory')
    await grantOne(await startControl(clock, storage))
    await lifecycles.pop()?.close()
    clock.jump(60_000)
    const control = await startControl(clock, storage.restart())
    const taken = await control.execute({ kind: CommandKind.AcquireLease, backendServer: 'b', holder: 'other', expected: 1 })
    expect(taken._unsafeUnwrap()).to.include({ holder: 'h', granted: false })
    let outcome: Result<Outcome, Failure> | undefined
    control.execute({ kind: CommandKind.CancelJob, job: 'j' }).then(result => { outcome = result }, () => {})
    await eventually('the cancellation', 2_000, () => control.state.jobs.jobs.get('j')?.cancelled === true ? true : undefined)
    await yieldToEventLoop()
    expect(outcome).to.equal(undefined)
    await poll(control, control.replica.state.appliedIndex)
    expect((await eventually('the answer', 2_000, () => outcome)).isOk()).to.equal(true)
    await control.execute({ kind: CommandKind.Complete, completions: [{ job: 'j', position: 0, grant: 1, ending: Ending.Done, result: 'finished before' }] })
    expect(control.state.jobs.jobs.get('j')?.done, 'an end that was on its way').to.equal(1)
  })
})
