import { expect } from 'chai'
import { chooseReturnMs, returnBaseMs } from '../src/request/placement/returnTime.ts'

const positions = Array.from({ length: 101 }, (_, index) => index / 100)

describe('time after which a refused caller may try again', () => {
  // Failure: all callers of an account that were refused by the same sums were sent back to the same moment.
  it('is spread over the time in which there is room', () => {
    const times = positions.map(position => chooseReturnMs(returnBaseMs, position, { spreadMs: 4_000, remainingMs: 60_000 }))
    expect(Math.min(...times)).to.equal(returnBaseMs)
    expect(Math.max(...times)).to.equal(returnBaseMs + 4_000)
    expect(new Set(times).size).to.equal(positions.length)
  })

  // Guards against a time at which the caller has given up.
  it('leaves the caller half of its remaining time, but no less than the usual spread', () => {
    for (const position of positions) {
      expect(chooseReturnMs(returnBaseMs, position, { spreadMs: 5_000, remainingMs: 5_000 })).to.be.at.most(2_500)
      expect(chooseReturnMs(returnBaseMs, position, { spreadMs: 5_000, remainingMs: 100 })).to.be.at.most(2 * returnBaseMs)
    }
  })

  // Guards against callers of a blocked request who return before the block ends.
  it('is not before a time until which the request is blocked', () => {
    expect(chooseReturnMs(returnBaseMs, 0.5, { minimumMs: 9_000, remainingMs: 5_000 })).to.equal(9_000)
  })
})
