import { expect } from 'chai'
import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import type { Server } from 'node:http'
import { request } from 'undici'
import { createCallerServer } from '../platform/callerHttp.ts'
import type { CallerRequest, CallerResponse } from '../src/request/callerExchange.ts'
import type { CallerService } from '../src/request/callerService.ts'

const malformed = ['', '0x10', '1e1', '-1', '1.5', '+1', '1, 2', 'abc', 'Infinity', '99999999999999999999']

describe('Last-Event-Id of a caller', () => {
  let server: Server
  let forwarded: CallerRequest[]

  beforeEach(async () => {
    forwarded = []
    server = createCallerServer({
      limits: () => undefined,
      isJob: () => false,
      hasAccounts: () => false,
      now: () => performance.now(),
      async forward (callerRequest: CallerRequest, response: CallerResponse) {
        forwarded.push(callerRequest)
        response.start(200, [], true)
        response.end()
      },
      reportError (error: unknown) { throw error }
    } as unknown as CallerService)
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })
  afterEach(() => {
    server.close()
    server.closeAllConnections()
  })

  async function send (headers: Record<string, string>): Promise<number> {
    const { port } = server.address() as AddressInfo
    const response = await request(`http://127.0.0.1:${port}/p/1`, { headers: { 'x-request-id': 'q-1', ...headers } })
    await response.body.dump()
    return response.statusCode
  }

  // Guards against a resumption whose position is lost.
  it('is the number of the event if it has decimal digits only', async () => {
    for (const value of ['0', '16', '007']) expect(await send({ 'last-event-id': value, resumes: 'q-0' })).to.equal(200)
    expect(forwarded.map(({ resumeAfter }) => resumeAfter)).to.deep.equal([0, 16, 7])
  })

  // Failure (trial T8): an empty value was read as 0 and '0x10' as 16, so the stream went on after an event that the caller had not named.
  it('counts as absent without Resumes if it has anything else', async () => {
    for (const value of malformed) expect(await send({ 'last-event-id': value })).to.equal(200)
    expect(forwarded.map(({ resumeAfter }) => resumeAfter)).to.deep.equal(malformed.map(() => undefined))
  })

  // Failure it guards against: the stream began anew behind the part that the caller has.
  it('is refused as invalid, without running the request, beside Resumes if it has anything else', async () => {
    for (const value of malformed) expect(await send({ 'last-event-id': value, resumes: 'q-0' }), value).to.equal(400)
    expect(forwarded).to.have.length(0)
  })
})
