import { expect } from 'chai'
import { areInSequence, decodeOutput, decodeStream, describeMixedVersions, encodeData, eventCount, type WrittenEvent } from './soak/soakEvents.ts'

function eventsOf (...softwareVersions: readonly string[]): WrittenEvent[] {
  return softwareVersions.map((softwareVersion, id) => ({ id, softwareVersion }))
}

const encodeStream = (events: readonly WrittenEvent[]): string => events.map(event => `id: ${event.id}\ndata: ${encodeData(event)}\n\n`).join('')

// Guards against checks of the soak that pass over what they are meant to find.
describe('events of the soak', () => {
  it('are decoded from streams and outputs, without an event that is cut off', () => {
    const events = eventsOf('v1', 'v1', 'v2')
    expect(decodeStream(encodeStream(events) + 'id: 3\ndata: v2/e')).to.deep.equal(events)
    expect(decodeOutput(events.map(encodeData).join('\n'))).to.deep.equal(events)
    expect(decodeOutput('')).to.deep.equal([])
  })

  for (const text of ['id: 1\ndata: v1/e0\n\n', 'data: v1/e0\n\n', 'id: 0\ndata: e0\n\n', ': comment\n\n']) {
    it(`are not decoded from other text: ${JSON.stringify(text)}`, () => expect(decodeStream(text)).to.equal(undefined))
  }

  it('are not decoded from another output', () => expect(decodeOutput('v1/e0\n\nv1/e1')).to.equal(undefined))

  it('are in sequence only without gaps, repeats and, in a complete answer, missing ones', () => {
    const complete = eventsOf(...Array.from({ length: eventCount }, () => 'v1'))
    expect(areInSequence(complete, true)).to.equal(true)
    expect(areInSequence(complete.slice(0, 3), false)).to.equal(true)
    expect(areInSequence(complete.slice(0, -1), true)).to.equal(false)
    expect(areInSequence(complete.slice(1), false)).to.equal(false)
    expect(areInSequence([...complete.slice(0, 2), ...complete.slice(1, 3)], false)).to.equal(false)
    expect(areInSequence([...complete, { id: eventCount, softwareVersion: 'v1' }], false)).to.equal(false)
  })

  it('name each change of the software version', () => {
    expect(describeMixedVersions(eventsOf('v1', 'v1'))).to.equal(undefined)
    expect(describeMixedVersions([])).to.equal(undefined)
    expect(describeMixedVersions(eventsOf('v1', 'v2', 'v2', 'v1'))).to.equal('v1 from event 0, v2 from event 1, v1 from event 3')
  })
})
