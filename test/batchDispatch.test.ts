import { expect } from 'chai'
import { eventually } from '../scripts/processes.ts'
import { runBatchDispatch } from '../src/connection/batchDispatch.ts'
import { CommandKind, OutcomeKind } from '../src/process/state/commands.ts'
import { describeJob } from '../src/process/jobs/jobRecords.ts'
import { responseText, crashMarker, type StandIn, type StandInSettings, startStandIn } from './standIn/standIn.ts'
import { type BatchSystem, commandsOf, heldItems, startBatchSystem } from './support/batch.ts'

const limitMs = 5_000

describe('batch dispatch', () => {
  let system: BatchSystem
  let standIns: StandIn[]

  beforeEach(() => {
    system = startBatchSystem()
    standIns = []
  })

  afterEach(async () => {
    await system.close()
    for (const standIn of standIns) await standIn.close()
  })

  async function start (settings: Partial<StandInSettings> = {}): Promise<StandIn> {
    const standIn = await startStandIn(settings)
    standIns.push(standIn)
    return standIn
  }

  function job (id: string) {
    const found = system.state.jobs.jobs.get(id)
    if (found === undefined) throw new Error(`no job ${id}`)
    return found
  }

  function finished (id: string): Promise<true> {
    return eventually(`the end of ${id}`, limitMs, () => describeJob(job(id)).phase === 'finished' ? true : undefined)
  }

  it('stops at live work that another entry host reports, and resumes with the progress kept', async () => {
    const standIn = await start({ tokenMs: 10 })
    const server = system.hear(standIn)
    system.submit('j', 'engine', [{ maxTokens: 30 }])
    system.dispatch(server)
    await eventually('a running item', limitMs, () => (standIn.runs[0]?.at ?? Infinity) < performance.now() - 50 ? true : undefined)
    system.services.liveWork.recordReport('host-b/1', [standIn.address])
    await eventually('the cancelled stream', limitMs, () => standIn.runs[0]?.cancelled === true ? true : undefined)
    expect(standIn.running).to.equal(0)
    system.services.liveWork.recordReport('host-b/1', [])
    await finished('j')
    expect(standIn.runs.at(-1)?.offset).to.be.greaterThan(0)
    expect(job('j').items[0]?.result).to.equal(responseText('input j 0', 30))
    expect(job('j').items[0]?.attempts).to.equal(0)
  })

  it('yields while a claim is not answered', async () => {
    const standIn = await start({ tokenMs: 10 })
    const server = system.hear(standIn)
    system.submit('j', 'engine', Array.from({ length: 40 }, () => ({ maxTokens: 50 })))
    let answer = (): void => {}
    system.intercept = async command => {
      if (command.kind === CommandKind.Claim && commandsOf(system, CommandKind.Claim).length > 1) await new Promise<void>(resolve => { answer = resolve })
      return undefined
    }
    system.dispatch(server)
    await eventually('a claim under way', limitMs, () => commandsOf(system, CommandKind.Claim).length > 1 && standIn.running > 0 ? true : undefined)
    system.services.liveWork.recordReport('host-b/1', [standIn.address])
    await eventually('an idle backend server', limitMs, () => standIn.running === 0 ? true : undefined)
    expect(standIn.runs.filter(run => !run.cancelled)).to.deep.equal([])
    answer()
    system.intercept = () => undefined
  })

  // Failure: a full backend server claimed further items ahead and held them until its own ended, while another was idle.
  it('leaves items that it cannot start to another backend server', async () => {
    const full = await start({ tokenMs: 20 })
    system.submit('j', 'engine', Array.from({ length: 12 }, () => ({ maxTokens: 1_000 })))
    system.dispatch(system.hear(full))
    await eventually('a full backend server', limitMs, () => full.running === 8 ? true : undefined)
    // Time for a claim of the items that are left.
    await new Promise(resolve => setTimeout(resolve, 100))
    const idle = await start({ tokenMs: 20 })
    system.dispatch(system.hear(idle))
    await eventually('the other items on the idle backend server', 2_000, () => idle.running === 4 ? true : undefined)
    expect(full.runs).to.have.length(8)
  })

  // Failure guarded against: with items claimed one by one, short ones would wait for a claim each.
  it('claims short items ahead, several in one claim', async () => {
    const standIn = await start({ tokenMs: 1, slowdownMs: 0, prefillMs: 1 })
    system.submit('j', 'engine', Array.from({ length: 200 }, () => ({ maxTokens: 2 })))
    system.dispatch(system.hear(standIn))
    await finished('j')
    expect(commandsOf(system, CommandKind.Claim).length).to.be.lessThan(100)
  })

  it('gets the items of a claim whose answer was lost', async () => {
    const server = system.hear(await start())
    system.submit('j', 'engine', [{}, {}, {}])
    let lost = 0
    system.intercept = (command, apply) => {
      if (command.kind !== CommandKind.Claim || lost > 0) return undefined
      lost++
      apply()
      return 'lost'
    }
    system.dispatch(server)
    await finished('j')
    expect(heldItems(system)).to.deep.equal([])
  })

  it('returns a non-idempotent item whose start was refused or not answered', async () => {
    const standIn = await start()
    const server = system.hear(standIn, { pool: 'service' })
    system.submit('j', 'service', [{}, {}, {}])
    let starts = 0
    system.intercept = (command, apply) => {
      if (command.kind !== CommandKind.Start) return undefined
      starts++
      if (starts === 1) {
        apply()
        return 'lost'
      }
      return starts === 2 ? { kind: OutcomeKind.Started, accepted: command.items.map(() => false) } : undefined
    }
    system.dispatch(server)
    await finished('j')
    expect(describeJob(job('j'))).to.include({ done: 3, unknown: 0 })
    expect(standIn.runs).to.have.length(3)
  })

  it('records several non-idempotent items in one start, each before it is sent', async () => {
    const standIn = await start()
    const server = system.hear(standIn, { pool: 'service' })
    system.submit('j', 'service', Array.from({ length: 8 }, () => ({})))
    let sentBefore = 0
    system.intercept = command => {
      if (command.kind === CommandKind.Start && standIn.runs.length === 0) sentBefore = command.items.length
      return undefined
    }
    system.dispatch(server)
    await finished('j')
    expect(sentBefore).to.be.greaterThan(1)
    expect(standIn.runs).to.have.length(8)
  })

  it('lets a non-idempotent item that was sent go on when live work arrives', async () => {
    const standIn = await start({ tokenMs: 100 })
    const server = system.hear(standIn, { pool: 'service' })
    system.submit('j', 'service', [{}])
    system.dispatch(server)
    await eventually('the sent item', limitMs, () => standIn.runs.length === 1 ? true : undefined)
    system.services.liveWork.recordReport('host-b/1', [standIn.address])
    await finished('j')
    expect(describeJob(job('j'))).to.include({ done: 1, unknown: 0 })
  })

  it('ends an item that crashed two backend servers, and completes those that ran beside it', async () => {
    system.submit('j', 'engine', [{ input: `a ${crashMarker}` }, { maxTokens: 40 }, { maxTokens: 40 }])
    for (let number = 0; number < 3; number++) system.dispatch(system.hear(await start()))
    await finished('j')
    const [poison, ...others] = job('j').items
    expect(poison?.ending).to.equal('failed')
    expect(poison?.result).to.equal('its request crashed two backend servers')
    for (const other of others) expect(other.ending).to.equal('done')
    expect(standIns.flatMap(standIn => standIn.runs).filter(run => run.prompt.includes(crashMarker))).to.have.length(2)
  })

  it('sends a leaving backend server nothing new and lets what it has finish', async () => {
    const standIn = await start({ tokenMs: 10 })
    const server = system.hear(standIn)
    system.submit('j', 'engine', Array.from({ length: 40 }, () => ({ maxTokens: 20 })))
    system.dispatch(server)
    await eventually('running items', limitMs, () => standIn.running === 8 ? true : undefined)
    system.hear(standIn, { leaving: true })
    const before = standIn.runs.length
    await eventually('the released lease', limitMs, () => commandsOf(system, CommandKind.ReleaseLease).length > 0 ? true : undefined)
    expect(standIn.runs.slice(0, before).filter(run => !run.finished)).to.deep.equal([])
    expect(standIn.runs).to.have.length(before)
  })

  it('releases its lease and returns its items when the host drains', async () => {
    const standIn = await start({ tokenMs: 10 })
    const server = system.hear(standIn)
    system.submit('j', 'engine', Array.from({ length: 40 }, () => ({ maxTokens: 100 })))
    system.dispatch(server)
    await eventually('running items', limitMs, () => standIn.running > 0 ? true : undefined)
    await system.stop()
    expect(system.state.leases.get(standIn.address)?.holder).to.equal(undefined)
    expect(heldItems(system)).to.deep.equal([])
    expect(system.services.leases.listOwn()).to.deep.equal([])
  })

  it('stops all items once its session may have expired, and sends nothing before it is confirmed', async () => {
    const standIn = await start({ tokenMs: 10 })
    const server = system.hear(standIn)
    system.submit('j', 'engine', Array.from({ length: 40 }, () => ({ maxTokens: 100 })))
    system.dispatch(server)
    await eventually('running items', limitMs, () => standIn.running > 0 ? true : undefined)
    system.alive = false
    await eventually('an idle backend server', limitMs, () => standIn.running === 0 ? true : undefined)
    await eventually('the released lease', limitMs, () => commandsOf(system, CommandKind.ReleaseLease).length > 0 ? true : undefined)
    expect(heldItems(system)).to.deep.equal([])
  })

  it('sends nothing under its old lease after a freeze in which another host took it', async () => {
    const standIn = await start({ tokenMs: 10 })
    const server = system.hear(standIn)
    system.submit('j', 'engine', Array.from({ length: 40 }, () => ({ maxTokens: 20 })))
    const now = system.services.clock.now.bind(system.services.clock)
    let frozenMs = 0
    const services = { ...system.services, clock: Object.assign(Object.create(system.services.clock), { now: () => now() + frozenMs }) }
    const end = new AbortController()
    const task = runBatchDispatch(server, services, end.signal)
    await eventually('running items', limitMs, () => standIn.running > 0 ? true : undefined)
    // The session is confirmed again before the task looks; only the gap between two looks tells of the freeze.
    frozenMs = 6_000
    // Control can't be reached either, so no refused claim tells that the lease is lost.
    let answer = (): void => {}
    const reached = new Promise<void>(resolve => { answer = resolve })
    system.intercept = async command => {
      if (command.kind === CommandKind.Claim) await reached
      return undefined
    }
    system.state.leases.set(standIn.address, { holder: 'host-b/1', number: 2 })
    const before = standIn.runs.length
    await eventually('the end of the old lease', limitMs, () => commandsOf(system, CommandKind.ReleaseLease).length > 0 ? true : undefined)
    expect(standIn.runs).to.have.length(before)
    answer()
    end.abort()
    await task
  })
})
