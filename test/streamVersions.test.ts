import { expect } from 'chai'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import type { GatewayRoute } from '../src/version/gatewayTables.ts'
import type { BackendServerRecord } from '../src/process/fleet/backendServerRegistry.ts'
import { forwardingServicesOf, RecordedResponse, recordOf, requestOf, routeOf, type Script, ScriptedServers } from './support/fakeFleet.ts'

const firstEvent = 'id: 0\ndata: a\n\n'
const secondEvent = 'id: 1\ndata: b\n\n'

const oldServer = recordOf('i-1')
const newServer = recordOf('i-2', { softwareVersion: 'v2' })
const breakAfterFirstEvent: Script = { does: 'answer', pieces: [firstEvent], then: 'break' }
const answerRest: Script = { does: 'answer', pieces: [secondEvent] }

interface Exchange {
  readonly answer: RecordedResponse
  readonly servers: ScriptedServers
}

async function forward (scripts: readonly Script[], records: readonly BackendServerRecord[], route: Partial<GatewayRoute> = {}, overrides: Parameters<typeof requestOf>[0] = {}): Promise<Exchange> {
  const servers = new ScriptedServers(scripts)
  const answer = new RecordedResponse()
  await runForwardedRequest(requestOf(overrides).request, answer, forwardingServicesOf(servers, [routeOf(route)], { servers: records }))
  return { answer, servers }
}

function listVersions ({ arrivals }: ScriptedServers, records: readonly BackendServerRecord[]): Array<string | undefined> {
  return arrivals.map(({ server }) => records.find(({ id }) => id === server)?.softwareVersion)
}

describe('software versions of a stream', () => {
  // Failure (ORDER on deploy/days/skewed): a stream that broke went on at a server of another software version, within one response.
  it('continues a stream only at servers of the version that began it', async () => {
    const records = [oldServer, newServer, recordOf('i-3', { softwareVersion: 'v2' }), recordOf('i-4', { softwareVersion: 'v2' })]
    for (let round = 0; round < 10; round++) {
      const { answer, servers } = await forward([breakAfterFirstEvent, answerRest], records)
      const [first, second] = listVersions(servers, records)
      expect(second).to.equal(first)
      expect(answer).to.include({ text: firstEvent + secondEvent, isComplete: true })
    }
  })

  // Failure: with no server of the version left, the stream went on at another version. Waiting for one would only delay the caller's next attempt.
  it('aborts a stream that broke at once when no server of its version is listed', async () => {
    const records = [oldServer, newServer]
    const servers = new ScriptedServers([{ ...breakAfterFirstEvent, endMs: 30 }, answerRest])
    const services = forwardingServicesOf(servers, [routeOf({ timeoutMs: 5_000 })], { servers: records })
    const answer = new RecordedResponse()
    const startedAt = performance.now()
    const forwarded = runForwardedRequest(requestOf().request, answer, services)
    await new Promise(resolve => setTimeout(resolve, 10))
    const first = records.find(({ id }) => id === servers.arrivals[0]?.server) ?? expect.fail('no request reached a server')
    services.view.applyUpdate({ leadership: 'a/1', serversRevision: 2, servers: [{ ...first, phase: 'gone', revision: 2 }], isComplete: true, hostsRevision: 1, controlHosts: [] })
    await forwarded
    expect(servers.arrivals).to.have.length(1)
    expect(answer).to.include({ text: firstEvent, isComplete: false, isAborted: true })
    expect(performance.now() - startedAt).to.be.below(1_000)
  })

  // Failure: two servers of unknown version, each of another one, wrote one stream.
  it('continues no stream at a server of unknown version', async () => {
    const records = [recordOf('i-1', { softwareVersion: undefined }), recordOf('i-2', { softwareVersion: undefined })]
    const { answer, servers } = await forward([breakAfterFirstEvent, answerRest], records)
    expect(servers.arrivals).to.have.length(1)
    expect(answer).to.include({ isComplete: false, isAborted: true })
  })

  // Failure (ORDER on deploy/days/rejoined): after all gateways had restarted, streams were taken up at a server of any version.
  it('refuses a take-up when nothing tells the version that began the stream', async () => {
    const { answer, servers } = await forward([answerRest], [oldServer, newServer], {}, { resumeAfter: 0 })
    expect(servers.arrivals).to.have.length(0)
    expect(answer.refusal).to.equal('stream not known')
  })
})
