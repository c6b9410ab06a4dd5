import { expect } from 'chai'
import { ok } from 'neverthrow'
import { once } from 'node:events'
import { createServer, type IncomingHttpHeaders } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createBackendServerHttp } from '../platform/backendServerHttp.ts'
import { decodeFrames, encodeFrame, encodeRecord } from '../src/process/log/recordCodec.ts'
import { getKeyLeaseMs } from '../src/process/accounts/keyLease.ts'
import { createFleetView, defaultAccountSettings, type FleetView } from '../src/process/fleet/fleetView.ts'
import { createOpenItems } from '../src/process/fleet/openItems.ts'
import { createGatewayDrain } from '../src/process/fleet/gatewayDrain.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { Counter, createMetrics } from '../src/process/program/metrics.ts'
import { type Command, CommandKind, Ending, OutcomeKind } from '../src/process/state/commands.ts'
import { answerQuery, applyCommand, type ControlState, createControlState } from '../src/process/state/controlState.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import { endJob, type GatewayJobServices, readItemBody, readJobResults, submitJob } from '../src/request/gatewayJobs.ts'
import { runSubmittedItem } from '../src/request/submittedItemRun.ts'
import { type ClientAccount, digestKey } from '../src/version/accounts.ts'
import { type GatewayRoute, RouteKind } from '../src/version/gatewayTables.ts'
import { FakeClock } from './support/fakeClock.ts'
import { fleetUpdateOf, routeOf, tablesOf } from './support/fakeFleet.ts'
import { restore } from './support/stateCommands.ts'

const item = { id: 'x', path: '/batch/1', headers: {}, body: Buffer.from('body'), tokens: 100 }

function accountOf (name: string, ...keys: string[]): ClientAccount {
  return { name, keys: keys.map(digestKey), priority: undefined, ratePerSecond: 0, burst: 0 }
}

const accounts = [accountOf('north', 'n-1', 'n-2'), accountOf('south', 's-1')]

describe('jobs of client accounts', () => {
  let clock: FakeClock
  let state: ControlState
  let view: FleetView
  let services: GatewayJobServices
  let version: number

  beforeEach(() => {
    clock = new FakeClock()
    state = createControlState()
    version = 0
    view = createFleetView(clock, createSilentLogger(), () => [], { ...defaultAccountSettings, keyLeaseMs: () => getKeyLeaseMs(5_000) })
    services = {
      view,
      clock,
      logger: createSilentLogger(),
      metrics: createMetrics(),
      drain: createGatewayDrain(),
      control: { execute: async command => ok(applyCommand(state, command)), read: async query => ok(answerQuery(state, query)) }
    }
  })

  function publish (held: readonly ClientAccount[] | undefined, route: Partial<GatewayRoute> = {}): void {
    version++
    const tables = { ...tablesOf(version, [routeOf({ kind: RouteKind.Batch, pathPrefix: '/batch/', waitingTokens: 250, ...route })]), accounts: held }
    view.applyUpdate(fleetUpdateOf({ tables, tablesVersion: version, tablesAgeMs: held === undefined ? undefined : 0 }), clock.now())
  }

  const accessOf = (credential?: string): { readonly host: string, readonly credential?: string } => ({ host: 'a.example', ...(credential === undefined ? {} : { credential }) })

  async function submit (id: string, credential?: string): Promise<GatewayRefusal | 'accepted'> {
    const accepted = await submitJob({ id, path: '/batch/j', items: [item], ...accessOf(credential) }, services)
    return accepted.match(() => 'accepted' as const, refusal => refusal)
  }

  /** Outcomes of a read of results, a read of a body and the end of a job. */
  async function access (job: string, credential?: string): Promise<unknown[]> {
    const caller = accessOf(credential)
    const outcomes = [await readJobResults(job, 0, 0, caller, services), await readItemBody(job, 'x', caller, services), await endJob(job, caller, services)]
    return outcomes.map(outcome => outcome.match(value => value !== undefined && value !== false, refusal => refusal))
  }

  const served = [true, true, true]
  const unknown = [false, false, false]
  const refusedAs = (refusal: GatewayRefusal): GatewayRefusal[] => [refusal, refusal, refusal]

  // Guards against results that another account reads, and jobs that it ends.
  it('are served with any key of their account, and look unknown to another one', async () => {
    publish(accounts)
    expect(await submit('j', 'n-1')).to.equal('accepted')
    expect(await access('j', 's-1')).to.deep.equal(unknown)
    expect(await access('none', 's-1')).to.deep.equal(unknown)
    for (const key of ['other', undefined]) expect(await access('j', key)).to.deep.equal(refusedAs(GatewayRefusal.Unauthorized))
    expect(await submit('k', 'other')).to.equal(GatewayRefusal.Unauthorized)
    expect(services.metrics.read(Counter.Refusals, GatewayRefusal.Unauthorized)).to.equal(7)
    expect(await access('j', 'n-2')).to.deep.equal(served)
  })

  // Guards against a job that is run twice, or refused, when its caller repeats it after a change of keys; and against an account that
  // takes a job over, or learns from the answer that its own job runs.
  it('are the same job when another key of the account sends them again, and none of another account', async () => {
    publish(accounts)
    await submit('j', 'n-1')
    publish([accountOf('north', 'n-2'), accountOf('south', 's-1')])
    expect(await submit('j', 'n-1')).to.equal(GatewayRefusal.Unauthorized)
    expect(await submit('j', 'n-2')).to.equal('accepted')
    expect(await submit('j', 's-1')).to.equal(GatewayRefusal.Invalid)
    expect([state.submissions.jobs.size, state.submissions.jobs.get('j')?.submission.account]).to.deep.equal([1, 'north'])
    expect(await access('j', 'n-2')).to.deep.equal(served)
  })

  // Guards against an account that fills the route for all others, and tokens that stay counted after the end of a job.
  it('count their waiting tokens for the account', async () => {
    publish(accounts)
    expect([await submit('a', 'n-1'), await submit('b', 'n-2'), await submit('c', 'n-1')]).to.deep.equal(['accepted', 'accepted', GatewayRefusal.QuotaExceeded])
    expect([await submit('d', 's-1'), await submit('e', 's-1')]).to.deep.equal(['accepted', 'accepted'])
    await access('a', 'n-1')
    expect(await submit('c', 'n-1')).to.equal('accepted')
    expect([...restore(state).submissions.waitingTokens]).to.have.deep.members([...state.submissions.waitingTokens].filter(([, tokens]) => tokens > 0))
  })

  // Guards against jobs that a new leader gives to everyone.
  it('keep their account in a snapshot and in the log, and have none in those of earlier versions', async () => {
    publish(accounts)
    await submit('j', 'n-1')
    expect(restore(state).submissions.jobs.get('j')?.submission.account).to.equal('north')
    const submission = { id: 'old', host: 'a.example', route: 'r', pathPrefix: '/batch/', acceptedAt: 0, giveUpAt: 0, items: [item] }
    const command: Command = { kind: CommandKind.Submit, submission, tokenLimit: 0, giveUpMs: 0, time: 0 }
    const [decoded] = decodeFrames(encodeFrame(0, [encodeRecord(command)])).records
    expect(applyCommand(state, (decoded ?? expect.fail('nothing decoded')) as never).kind).to.equal(OutcomeKind.Job)
    expect(state.submissions.jobs.get('old')?.submission).not.to.have.property('account')
    expect(await access('old', 's-1')).to.deep.equal(served)
  })

  // Guards against callers of a public route who cannot read their jobs, and jobs of accounts that anyone can read there.
  it('need no key on a public route unless they were submitted with one', async () => {
    publish(accounts, { isPublic: true })
    expect([await submit('open', undefined), await submit('j', 'n-1')]).to.deep.equal(['accepted', 'accepted'])
    expect(await access('open')).to.deep.equal(served)
    for (const key of [undefined, 'other', 's-1']) expect(await access('j', key)).to.deep.equal(unknown)
    expect(await submit('j')).to.equal(GatewayRefusal.Invalid)
  })

  // Guards against 404 from a host that has just started, on which a caller gives its job up.
  it('are refused as not ready by a host without tables, which serves jobs without an account', async () => {
    publish(accounts)
    await submit('j', 'n-1')
    const submission = { id: 'open', host: 'a.example', route: 'r', pathPrefix: '/batch/', acceptedAt: 0, giveUpAt: 0, items: [item] }
    applyCommand(state, { kind: CommandKind.Submit, submission, tokenLimit: 0, giveUpMs: 0, time: 0 })
    services = { ...services, view: createFleetView(clock, createSilentLogger(), () => []) }
    expect(await access('j', 'n-1')).to.deep.equal(refusedAs(GatewayRefusal.NotReady))
    expect(await access('open')).to.deep.equal(served)
  })

  // Guards against a withdrawn key that a host out of touch still accepts for jobs.
  // Failure: a host whose tables had no accounts let everyone read and end jobs of accounts while it knew of newer tables.
  it('are refused as not ready by a host that may lack the first accounts, which serves jobs without an account', async () => {
    publish(undefined)
    await submit('open')
    publish(accounts)
    await submit('j', 'n-1')
    view = createFleetView(clock, createSilentLogger(), () => [])
    services = { ...services, view }
    view.applyTables(tablesOf(1, [routeOf({ kind: RouteKind.Batch, pathPrefix: '/batch/' })]))
    view.recordTablesVersion(2)
    expect(await access('j', 'n-1')).to.deep.equal(refusedAs(GatewayRefusal.NotReady))
    expect(await access('open')).to.deep.equal(served)
  })

  it('are refused as not ready past the lease for keys', async () => {
    publish(accounts)
    await submit('j', 'n-1')
    await clock.advance(5_000)
    expect(await access('j', 'n-1')).to.deep.equal(refusedAs(GatewayRefusal.NotReady))
    expect(await submit('k', 'n-1')).to.equal(GatewayRefusal.NotReady)
  })

  // Guards against jobs that nobody can read any more once an operator has removed all accounts.
  it('need no key once the tables have no accounts', async () => {
    publish(accounts)
    await submit('j', 'n-1')
    applyCommand(state, { kind: CommandKind.FinishItems, results: [{ job: 'j', item: 'x', ending: Ending.Done, output: 'out' }] })
    publish(undefined)
    expect((await readJobResults('j', 0, 0, accessOf(), services)).map(page => page?.results.length)).to.deep.equal(ok(1))
  })

  // Failure: ids contain spaces, so that an item of one job took the place of an item of another account's job, which was never run.
  it('keep their items apart from those of jobs with similar ids', () => {
    for (const [id, itemId] of [['a b', 'c'], ['a', 'b c'], ['a\u00a0b', 'c']] as const) {
      const submission = { id, host: 'a.example', route: 'r', pathPrefix: '/batch/', acceptedAt: 0, giveUpAt: 0, account: `of ${id}`, items: [{ ...item, id: itemId }] }
      applyCommand(state, { kind: CommandKind.Submit, submission, tokenLimit: 0, giveUpMs: 0, time: 0 })
    }
    const items = createOpenItems()
    items.synchronize(state.submissions)
    expect(items.list().map(({ record }) => record.submission.id)).to.have.members(['a b', 'a', 'a\u00a0b'])
  })

  // Guards against items that run for the account that their headers name.
  it('run their items with the name of the account', async () => {
    const seen: IncomingHttpHeaders[] = []
    const server = createServer((request, response) => {
      seen.push(request.headers)
      response.end('id: 0\ndata: a\n\n')
    }).listen(0, '127.0.0.1')
    await once(server, 'listening')
    const target = { id: 'i-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
    await runSubmittedItem({
      item: { ...item, headers: { 'X-Tenant': 'south', 'x-credential': 'n-1', 'X-Model': 'm' } },
      host: 'a.example',
      account: 'north',
      target,
      client: createBackendServerHttp(createMetrics()),
      progress: { data: [], lastEvent: undefined },
      saved: { events: 0, characters: 0 },
      reserve: () => true,
      idleTimeoutMs: 1_000,
      recordResponse () {},
      signal: new AbortController().signal
    })
    server.close().closeAllConnections()
    expect(seen).to.have.length(1)
    expect(seen[0]).to.include({ 'x-tenant': 'north', 'x-model': 'm' }).and.not.to.have.property('x-credential')
  })
})
