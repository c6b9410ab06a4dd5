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

describe('items on an entry host after a cancellation, a refused start or an expired session', () => {
  let side: ReturnType<typeof createEntrySide>
  afterEach(() => side.end.abort())

  // The item would run after its cancellation was answered: the grant was made before the cancellation, and the response to
  // its claim arrives after this host has reported that it has stopped the job.
  it('are not sent when the grant is received after the cancellation', async () => {
    side = createEntrySide()
    const resolveClaim = await side.dispatchUntilClaim()
    await side.answerPoll({ cancelledJobs: ['j'], appliedIndex: 9 })
    const report = await side.answerPoll({ cancelledJobs: ['j'], appliedIndex: 9 })
    expect(report).to.deep.include({ stoppedIndex: 9, knownCancelled: ['j'] })
    resolveClaim(grants)
    await eventually('the requeued item', 2_000, () => side.requeued[0])
    expect(side.sent).to.deep.equal([])
  })

  // The item would run twice or after its cancellation: control expired the holder after 5 s, requeued its grants and
  // answered the cancellation, and its later poll responses don't name the job any more.
  for (const [name, moveClock] of [['was isolated', 'advance'], ['was suspended', 'jump']] as const) {
    it(`are not sent by a host that ${name} between claim and grant`, async () => {
      side = createEntrySide()
      const resolveClaim = await side.dispatchUntilClaim()
      await side.clock[moveClock](6_000)
      await side.answerPoll()
      await side.answerPoll()
      expect(side.stream.session.isAlive(side.clock.now())).to.equal(true)
      resolveClaim(grants)
      await eventually('the requeued item', 2_000, () => side.requeued[0])
      expect(side.sent).to.deep.equal([])
    })
  }

  // The start of a non-idempotent item is recorded before it is sent; a refusal means that the grant is no
  // longer valid, and an item that is sent anyway could run twice.
  it('are not sent when they are non-idempotent and their start is refused', async () => {
    side = createEntrySide(false)
    const resolveClaim = await side.dispatchUntilClaim()
    resolveClaim(grants)
    const resolveStart = await side.waitForCommand(CommandKind.Start)
    resolveStart({ kind: OutcomeKind.Started, accepted: [false] })
    await eventually('the requeued item', 2_000, () => side.requeued[0])
    expect(side.sent).to.deep.equal([])
  })

  // A call to control that hangs must not keep streams alive beyond the session, after which control requeues the items.
  it('have their streams cancelled when the session expires', async () => {
    side = createEntrySide()
    const resolveClaim = await side.dispatchUntilClaim()
    resolveClaim(grants)
    await eventually('the sent item', 2_000, () => side.sent[0])
    await side.clock.advance(4_001)
    await eventually('the cancelled stream', 2_000, () => side.stopped[0])
  })

  // If polls waited for the streams to stop, a backend server that does not react would let the session of the host expire.
  it('do not block polls while their streams stop, and are reported as stopped only afterwards', async () => {
    let finishStopping = (): void => {}
    side = createEntrySide(true, () => new Promise<void>(resolve => { finishStopping = resolve }))
    await side.answerPoll({ cancelledJobs: ['j'], appliedIndex: 9 })
    await side.clock.advance(500)
    expect((await side.answerPoll({ cancelledJobs: ['j'], appliedIndex: 9 })).stoppedIndex).to.equal(0)
    finishStopping()
    await yieldToEventLoop()
    await side.answerPoll({ cancelledJobs: ['j'], appliedIndex: 9 })
    expect((await side.answerPoll()).stoppedIndex).to.equal(9)
  })
})

describe('a job on a control host, cancelled or with its holder lost', () => {
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

  async function grantOneItem (control: ControlHost): Promise<void> {
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

  // The response promises that no item of the job runs any more, so an earlier response would be wrong.
  it('has its cancellation answered only after the holder has reported that it stopped', async () => {
    const clock = new FakeClock()
    const control = await startControl(clock, new MemoryStorage('memory'))
    await grantOneItem(control)
    let outcome: Result<Outcome, Failure> | undefined
    control.execute({ kind: CommandKind.CancelJob, job: 'j' }).then(result => { outcome = result }, () => {})
    await eventually('the recorded cancellation', 2_000, () => control.state.jobs.jobs.get('j')?.cancelled === true ? true : undefined)
    await poll(control, control.replica.state.appliedIndex - 1)
    await yieldToEventLoop()
    expect(outcome).to.equal(undefined)
    await poll(control, control.replica.state.appliedIndex)
    expect((await eventually('the outcome of the cancellation', 2_000, () => outcome)).isOk()).to.equal(true)
  })

  // The items of a lost host would otherwise never run, and its lease would block the backend server.
  it('has its items requeued and the lease released within 6 s after the last poll of its holder', async () => {
    const clock = new FakeClock()
    const control = await startControl(clock, new MemoryStorage('memory'))
    await grantOneItem(control)
    for (let step = 0; step < 12; step++) {
      await clock.advance(500)
      await yieldToEventLoop()
    }
    await eventually('the expiry of the holder', 2_000, () => control.state.jobs.held.size === 0 ? true : undefined)
    expect(control.state.leases.get('b')?.holder).to.equal(undefined)
    expect(control.state.jobs.jobs.get('j')?.waiting.firstPriority()).to.equal(1)
  })

  // A success would promise that no item runs any more, but the holder still polls without having stopped.
  it('has its cancellation time out when a live holder does not stop', async () => {
    const clock = new FakeClock()
    const control = await startControl(clock, new MemoryStorage('memory'))
    await grantOneItem(control)
    const cancelled = control.execute({ kind: CommandKind.CancelJob, job: 'j' })
    for (let second = 0; second < 8; second++) {
      await yieldToEventLoop()
      await poll(control, 0)
      await clock.advance(1_000)
    }
    const outcome = await cancelled
    expect(outcome.isErr() && outcome.error.reason).to.equal(FailureReason.Timeout)
  })

  // A new leader starts without sessions. If it treated a holder that has not polled yet as expired, another host could
  // acquire the lease while items of the holder still run.
  it('keeps its holder and lease under a new leader until the holder reports that it stopped', async () => {
    const clock = new FakeClock()
    const storage = new MemoryStorage('memory')
    await grantOneItem(await startControl(clock, storage))
    await lifecycles.pop()?.close()
    clock.jump(60_000)
    const control = await startControl(clock, storage.restart())
    const acquired = await control.execute({ kind: CommandKind.AcquireLease, backendServer: 'b', holder: 'other', expected: 1 })
    expect(acquired._unsafeUnwrap()).to.include({ holder: 'h', granted: false })
    let outcome: Result<Outcome, Failure> | undefined
    control.execute({ kind: CommandKind.CancelJob, job: 'j' }).then(result => { outcome = result }, () => {})
    await eventually('the recorded cancellation', 2_000, () => control.state.jobs.jobs.get('j')?.cancelled === true ? true : undefined)
    await yieldToEventLoop()
    expect(outcome).to.equal(undefined)
    await poll(control, control.replica.state.appliedIndex)
    expect((await eventually('the outcome of the cancellation', 2_000, () => outcome)).isOk()).to.equal(true)
    await control.execute({ kind: CommandKind.Complete, completions: [{ job: 'j', position: 0, grant: 1, ending: Ending.Done, result: 'finished before' }] })
    expect(control.state.jobs.jobs.get('j')?.done, 'a completion that was in flight').to.equal(1)
  })
})
