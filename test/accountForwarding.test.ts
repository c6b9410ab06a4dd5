import { expect } from 'chai'
import { ok } from 'neverthrow'
import type { FleetClient } from '../src/connection/controlClient.ts'
import { runLoadReports } from '../src/connection/fleetWatch.ts'
import type { FleetHost, LoadReport, LoadTotals } from '../src/process/fleet/fleetMessages.ts'
import { createFleetView, type FleetView } from '../src/process/fleet/fleetView.ts'
import { createSilentLogger } from '../src/process/program/logger.ts'
import { Counter, createMetrics } from '../src/process/program/metrics.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import { type ClientAccount, digestKey } from '../src/version/accounts.ts'
import type { GatewayTables } from '../src/version/gatewayTables.ts'
import { FakeClock } from './support/fakeClock.ts'
import { fleetUpdateOf, forwardingServicesOf, recordOf, RecordedResponse, requestOf, routeOf, type Script, ScriptedServers, tablesOf } from './support/fakeFleet.ts'

const limit = 5
const account: ClientAccount = { name: 'a', keys: [digestKey('key')], priority: undefined, ratePerSecond: limit / 5, burst: 0 }
const answered: Script = { does: 'answer', pieces: ['id: 0\ndata: a\n\n'] }

function accountTables (): GatewayTables {
  return { ...tablesOf(1, [routeOf()]), accounts: [account] }
}

describe('requests of client accounts', () => {
  async function send (view: Parameters<typeof runForwardedRequest>[2]): Promise<RecordedResponse> {
    const answer = new RecordedResponse()
    await runForwardedRequest(requestOf({ credential: 'key' }).request, answer, view)
    return answer
  }

  // Guards against a limit that is not applied at the gateway, and against a refusal that does not say when to come again.
  it('are refused beyond the limit, with the time after which to try again', async () => {
    const scripts = Array.from({ length: 100 }, () => answered)
    const services = forwardingServicesOf(new ScriptedServers(scripts), [], { tables: accountTables() })
    services.view.accountQuotas.applyTotals({ accountUse: {}, gateways: 1 }, {})
    const answers: RecordedResponse[] = []
    while (answers.length < scripts.length) answers.push(await send(services))
    const refused = answers.filter(({ refusal }) => refusal === GatewayRefusal.QuotaExceeded)
    expect(answers.length - refused.length).to.be.within(limit, limit * 1.1 + 20)
    expect(refused[0]?.retryAfterMs).to.be.within(1, 5_000)
    expect(services.metrics.read(Counter.QuotaRefusals, 'a')).to.equal(refused.length)
  })

  // Guards against quota that is used up by requests that no server was there for.
  it('use up no quota when they are not sent', async () => {
    const services = forwardingServicesOf(new ScriptedServers([]), [], { tables: accountTables(), servers: [recordOf('i-1', { slots: -2 })] })
    services.view.accountQuotas.applyTotals({ accountUse: {}, gateways: 1 }, {})
    const refusals = await Promise.all(Array.from({ length: 40 }, async () => (await send(services)).refusal))
    expect(new Set(refusals).has(GatewayRefusal.Overloaded)).to.equal(true)
    expect(services.view.accountQuotas.describeUse()?.a?.[0] ?? 0).to.equal(0)
  })

  // Guards against a cost for those whose tables have no accounts, and against sums that do not arrive at the quotas.
  it('are reported with the load of the host, if the tables have accounts', async () => {
    const clock = new FakeClock()
    const reports: LoadReport[] = []
    const play = async (view: FleetView): Promise<void> => {
      const controller = new AbortController()
      const client = {
        async reportLoad (report: LoadReport) {
          reports.push(report)
          controller.abort()
          return ok<LoadTotals>({ loads: {}, suspects: [], intervalMs: 40, accountUse: { a: [300] }, gateways: 2 })
        }
      } as unknown as FleetClient
      const host: FleetHost = { name: 'g-1', holder: 'g-1', role: 'gateway', availabilityZone: 'z1', region: 'r1', callerAddress: undefined, ready: true }
      await runLoadReports({ view, client, describe: () => host, clock, random: createSeededRandom(1), logger: createSilentLogger(), metrics: createMetrics() }, controller.signal)
    }
    const plain = createFleetView(clock, createSilentLogger(), () => [])
    plain.applyUpdate(fleetUpdateOf({ tables: tablesOf(1, [routeOf()]) }))
    await play(plain)
    expect(reports[0]?.accountUse).to.equal(undefined)
    const limited = createFleetView(clock, createSilentLogger(), () => [])
    limited.applyUpdate(fleetUpdateOf({ tables: accountTables() }))
    expect(limited.accountQuotas.admit(account).isAdmitted).to.equal(true)
    await play(limited)
    expect(reports[1]?.accountUse).to.deep.equal({ a: [1, 1] })
    expect(limited.accountQuotas.admit(account).isAdmitted).to.equal(false)
  })
})
