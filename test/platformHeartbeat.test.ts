import { expect } from 'chai'
import { decodeHeartbeat } from '../platform/heartbeat.ts'

describe('platform heartbeats', () => {
  const body = { service: 's', addr: '10.0.0.1:80', zone: 'z1', version: 'v1', slots: 8, state: 'draining', cold_ms: 0, seq: 4, born: 1_700_000_000_000 }

  // Guards against fields of the wire format that are read as the wrong field of a heartbeat.
  it('are decoded', () => {
    expect(decodeHeartbeat('i-1', body)).to.deep.equal({
      id: 'i-1', service: 's', address: '10.0.0.1:80', availabilityZone: 'z1', slots: 8, leaving: true, startedAt: 1_700_000_000_000, sequence: 4
    })
  })

  // Failure: an entry that was not written by a backend server was accepted as a server to send requests to.
  for (const [field, value] of [['addr', undefined], ['addr', 'nowhere'], ['state', 'sleeping'], ['seq', '4'], ['service', 7], ['born', 'today'], ['slots', null]] as const) {
    it(`are rejected with ${field} = ${String(value)}`, () => expect(decodeHeartbeat('i-1', { ...body, [field]: value })).to.equal(undefined))
  }

  it('are rejected when they are not objects', () => {
    for (const foreign of [undefined, null, 'x', []]) expect(decodeHeartbeat('i-1', foreign)).to.equal(undefined)
  })
})
