import { expect } from 'chai'
import { decodeHeartbeat } from '../platform/heartbeat.ts'

describe('platform heartbeats', () => {
  const body = { service: 's', addr: '10.0.0.1:80', zone: 'z1', version: 'v1', slots: 8, state: 'draining', cold_ms: 0, seq: 4, born: 1_700_000_000_000 }

  // Guards against fields of the wire format that are read as the wrong field of a heartbeat.
  it('are decoded', () => {
    expect(decodeHeartbeat('i-1', body)).to.deep.equal({
      id: 'i-1', service: 's', address: '10.0.0.1:80', availabilityZone: 'z1', softwareVersion: 'v1', slots: 8, leaving: true, startedAt: 1_700_000_000_000, sequence: 4
    })
  })

  // Failure: an entry that was not written by a backend server was accepted as a server to send requests to.
  for (const [field, value] of [['addr', undefined], ['addr', 'nowhere'], ['state', 'sleeping'], ['seq', '4'], ['service', 7], ['born', 'today'], ['slots', null], ['version', 2], ['version', '']] as const) {
    it(`are rejected with ${field} = ${String(value)}`, () => expect(decodeHeartbeat('i-1', { ...body, [field]: value })).to.equal(undefined))
  }

  // Failure: other spellings of a port were accepted, so that one server could be registered under two addresses.
  for (const addr of ['1.2.3.4:8e1', '1.2.3.4:080', '1.2.3.4: 80', '1.2.3.4:0x50', '1.2.3.4:80.0', '1.2.3.4:+80', '1.2.3.4:80\n', '[1.2.3.4]:80', '[1.2.3.4:80', '1.2.3.4]:80', '::1:80']) {
    it(`are rejected with another spelling of an address: ${JSON.stringify(addr)}`, () => expect(decodeHeartbeat('i-1', { ...body, addr })).to.equal(undefined))
  }

  // Guards against an address that makes each connection attempt throw.
  for (const addr of ['1.2.3.4:0', '1.2.3.4:65536', '1.2.3.4:99999', '1.2.3.4:-1', '1.2.3.4:', '1.2.3.4', 'name:80', '127.0.0.1:80x', '01.2.3.4:80', '1.2.3.4:1e999']) {
    it(`are rejected with addr = ${addr}`, () => expect(decodeHeartbeat('i-1', { ...body, addr })).to.equal(undefined))
  }

  it('are accepted with an IPv4 or an IPv6 address', () => {
    for (const addr of ['1.2.3.4:1', '1.2.3.4:65535', '[::1]:80']) expect(decodeHeartbeat('i-1', { ...body, addr })?.address).to.equal(addr)
  })

  // Guards against numbers that are no numbers of a heartbeat, and against fields that are not read ending the decoding.
  it('are rejected with numbers out of range, and accepted with deeply nested fields that are not read', () => {
    for (const fields of ['"seq":1e999', '"slots":1e999', '"slots":-1', '"slots":9007199254740993', '"born":1e300', '"born":0.5']) {
      expect(decodeHeartbeat('i-1', { ...body, ...JSON.parse(`{${fields}}`) as object }), fields).to.equal(undefined)
    }
    const nested = JSON.parse(`${'['.repeat(100_000)}${']'.repeat(100_000)}`) as unknown
    expect(decodeHeartbeat('i-1', { ...body, models: nested })?.id).to.equal('i-1')
    expect(decodeHeartbeat('i-1', { ...body, zone: nested })).to.equal(undefined)
    expect(decodeHeartbeat('i-1', nested)).to.equal(undefined)
  })

  it('are rejected when they are not objects', () => {
    for (const foreign of [undefined, null, 'x', []]) expect(decodeHeartbeat('i-1', foreign)).to.equal(undefined)
  })
})
