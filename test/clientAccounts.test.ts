import { expect } from 'chai'
import { createServer, request as sendRequest, type IncomingHttpHeaders, type Server } from 'node:http'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { createBackendServerHttp } from '../platform/backendServerHttp.ts'
import { createCallerServer } from '../platform/callerHttp.ts'
import { decodeConfiguration } from '../platform/configuration.ts'
import { createMetrics, Counter } from '../src/process/program/metrics.ts'
import { GatewayRefusal } from '../src/request/callerExchange.ts'
import type { CallerService } from '../src/request/callerService.ts'
import { runForwardedRequest } from '../src/request/forwardedRequest.ts'
import { type ClientAccount, createAccountIndex, digestKey } from '../src/version/accounts.ts'
import { forwardingServicesOf, recordOf, RecordedResponse, requestOf, routeOf, ScriptedServers, tablesOf } from './support/fakeFleet.ts'

const key = 'k-1-secret'
const account: ClientAccount = { name: 'north', keys: [digestKey(key)], priority: undefined, ratePerSecond: 0, burst: 0 }

function configurationOf (tenants: unknown, route: object = {}): string {
  return JSON.stringify({
    version: 1,
    routes: [{ name: 'r', host: 'a.example', path_prefix: '/p/', kind: 'safe', timeout_ms: 1_000, service: 's', ...route }],
    services: [{ name: 's' }],
    limits: { header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 },
    ...(tenants === undefined ? {} : { tenants })
  })
}

describe('client accounts of a configuration', () => {
  // Guards against keys in the tables that every host holds, and against a limit where none is configured.
  it('are decoded with digests of their keys, and the document is kept as it was sent', () => {
    const document = configurationOf([{ name: 'north', api_keys: [key, 'k-2', key], priority: 1, rate_per_s: 2.5, burst: 4 }, { name: 'south', api_keys: [] }], { public: true })
    const publication = decodeConfiguration(document)._unsafeUnwrap()
    expect(publication.tables.accounts).to.deep.equal([
      { name: 'north', keys: [digestKey(key), digestKey('k-2')], priority: 1, ratePerSecond: 2.5, burst: 4 },
      { name: 'south', keys: [], priority: undefined, ratePerSecond: 0, burst: 0 }
    ])
    expect(publication.tables.routes[0]?.isPublic).to.equal(true)
    expect(JSON.stringify(publication.tables)).not.to.include(key)
    expect(publication.document).to.equal(document)
  })

  // Guards against callers without a key being refused where no configuration has asked for keys, and the reverse.
  it('are undefined without the list, and empty with an empty one', () => {
    expect(decodeConfiguration(configurationOf(undefined))._unsafeUnwrap().tables).not.to.have.property('accounts')
    expect(createAccountIndex(decodeConfiguration(configurationOf([]))._unsafeUnwrap().tables.accounts)?.size).to.equal(0)
  })

  const invalid: ReadonlyArray<readonly [name: string, tenants: unknown, names: readonly string[]]> = [
    ['share a key', [{ name: 'north', api_keys: [key] }, { name: 'south', api_keys: ['x', key] }], ['north', 'south']],
    ['have a key that is no text', [{ name: 'north', api_keys: [{ [key]: 1 }] }], ['north']],
    ['have a key that no header can carry', [{ name: 'north', api_keys: [`${key}\n`] }], ['north']],
    ['have an empty key', [{ name: 'north', api_keys: [''] }], ['north']],
    ['share a name', [{ name: 'north', api_keys: [key] }, { name: 'north', api_keys: [] }], ['north']]
  ]
  // Guards against a request that is served for another account than the operator meant, and against a key in the response or the log.
  for (const [name, tenants, names] of invalid) {
    it(`make it invalid when they ${name}, in a message with names and no key`, () => {
      const problems = JSON.stringify(decodeConfiguration(configurationOf(tenants))._unsafeUnwrapErr())
      for (const text of names) expect(problems).to.include(text)
      expect(problems).not.to.include(key)
    })
  }

  // Failure: the message of the JSON parser quotes the text around the error.
  it('do not appear in the message on a damaged document', () => {
    const document = configurationOf([{ name: 'north', api_keys: [key] }])
    for (const damaged of [document.replace(`"${key}"`, `"${key}" x`), document.replace(`"${key}"`, key)]) {
      expect(JSON.stringify(decodeConfiguration(damaged)._unsafeUnwrapErr())).not.to.include(key.slice(0, 3))
    }
  })
})

describe('key of a request', () => {
  async function forward (credential: string | undefined, accounts: readonly ClientAccount[] | undefined = [account], isPublic = false): Promise<{ readonly response: RecordedResponse, readonly servers: ScriptedServers, readonly refusals: number }> {
    const servers = new ScriptedServers([{ does: 'answer', pieces: ['ok'], type: 'text/plain' }])
    const tables = { ...tablesOf(1, [routeOf({ isPublic })]), accounts }
    const services = forwardingServicesOf(servers, [], { tables })
    const response = new RecordedResponse()
    await runForwardedRequest(requestOf({ credential }).request, response, services)
    return { response, servers, refusals: services.metrics.read(Counter.Refusals, GatewayRefusal.Unauthorized) }
  }

  // Guards against requests that run without a key, and against refusals that the metrics do not show.
  for (const [name, credential, accounts] of [['unknown', 'other', [account]], ['missing', undefined, [account]], ['sent while no account exists', key, []]] as const) {
    it(`is refused at once when it is ${name}`, async () => {
      const { response, servers, refusals } = await forward(credential, accounts)
      expect(response.refusal).to.equal(GatewayRefusal.Unauthorized)
      expect(servers.arrivals).to.deep.equal([])
      expect(refusals).to.equal(1)
    })
  }

  // Guards against requests that run for another account, or for none.
  for (const [name, credential, isPublic, expected] of [['of an account', key, false, 'north'], ['of an account on a public route', key, true, 'north'], ['unknown on a public route', 'other', true, undefined]] as const) {
    it(`names ${expected ?? 'no account'} to the server when it is ${name}`, async () => {
      const { servers } = await forward(credential, [account], isPublic)
      expect(servers.arrivals.map(({ request }) => request.account)).to.deep.equal([expected])
    })
  }

  // Guards against a refusal that ends the caller's attempts although a newer version may have its key.
  it('is refused as not ready where a newer version is known to be in force', async () => {
    const servers = new ScriptedServers([])
    const services = forwardingServicesOf(servers, [], { tables: { ...tablesOf(1, [routeOf()]), accounts: [account] }, tablesVersion: 2 })
    const response = new RecordedResponse()
    await runForwardedRequest(requestOf({ credential: 'other' }).request, response, services)
    expect(response.refusal).to.equal(GatewayRefusal.NotReady)
  })
})

describe('headers of a request to a server', () => {
  let seen: IncomingHttpHeaders[] = []
  const servers: Server[] = []

  afterEach(() => {
    for (const server of servers.splice(0)) server.close().closeAllConnections()
    seen = []
  })

  async function listen (server: Server): Promise<number> {
    servers.push(server)
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return (server.address() as AddressInfo).port
  }

  async function send (accounts: readonly ClientAccount[] | undefined, isPublic: boolean, headers: Record<string, string>): Promise<number> {
    const backend = await listen(createServer((request, response) => {
      seen.push(request.headers)
      response.end('ok')
    }))
    const tables = { ...tablesOf(1, [routeOf({ isPublic })]), accounts }
    const services = forwardingServicesOf(createBackendServerHttp(createMetrics()), [], { tables, servers: [recordOf('i-1', { address: `127.0.0.1:${backend}` })] })
    const gateway = await listen(createCallerServer({
      limits: () => undefined,
      isJob: () => false,
      hasAccounts: () => services.view.accounts !== undefined,
      now: () => performance.now(),
      forward: (request, response) => runForwardedRequest(request, response, services),
      reportError (error: unknown) { throw error }
    } as Partial<CallerService> as CallerService))
    const call = sendRequest({ host: '127.0.0.1', port: gateway, path: '/p/1', headers: { host: 'a.example', 'x-request-id': 'q', ...headers } })
    call.end()
    const [response] = await once(call, 'response')
    response.resume()
    return response.statusCode
  }

  const sent = { 'X-Credential': key, 'X-Tenant': 'someone' }

  // Guards against a key that reaches a server, and against callers that choose the account that servers see.
  it('are the name of the account in place of what the caller sent, without the key', async () => {
    expect(await send([{ ...account, name: 'nōrth' }], false, sent)).to.equal(200)
    expect(seen[0]).not.to.have.property('x-credential')
    expect(Buffer.from(String(seen[0]?.['x-tenant']), 'latin1').toString()).to.equal('nōrth')
  })

  it('contain neither on a public route without a known key', async () => {
    expect(await send([account], true, { ...sent, 'X-Credential': 'other' })).to.equal(200)
    expect(seen[0]).not.to.have.any.keys('x-credential', 'x-tenant')
  })

  it('contain both as sent where the tables have no accounts', async () => {
    expect(await send(undefined, false, sent)).to.equal(200)
    expect(seen[0]).to.include({ 'x-credential': key, 'x-tenant': 'someone' })
  })

  it('are not sent for an unknown key, which gets status 401', async () => {
    expect(await send([account], false, { ...sent, 'X-Credential': 'other' })).to.equal(401)
    expect(seen).to.deep.equal([])
  })
})
