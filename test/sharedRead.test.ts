import { expect } from 'chai'
import { shareRead } from '../src/process/program/sharedRead.ts'

describe('shared read', () => {
  // Guards against a read of many megabytes for each of many readers at once, and against a reader that gets a value older than its call.
  it('serves calls during a read by one later read, also after one that fails', async () => {
    const ends: Array<(value: string) => void> = []
    const fails: Array<(error: Error) => void> = []
    const read = shareRead(async () => await new Promise<string>((resolve, reject) => {
      ends.push(resolve)
      fails.push(reject)
    }))
    const nextTurn = async (): Promise<void> => await new Promise(resolve => setImmediate(resolve))
    const first = read().catch(String)
    await nextTurn()
    const later = [read(), read(), read()]
    await nextTurn()
    expect(ends).to.have.length(1)
    fails[0]?.(new Error('no leader'))
    expect(await first).to.equal('Error: no leader')
    await nextTurn()
    expect(ends).to.have.length(2)
    ends[1]?.('second')
    expect(await Promise.all(later)).to.deep.equal(['second', 'second', 'second'])
    const last = read()
    await nextTurn()
    ends[2]?.('third')
    expect(await last).to.equal('third')
  })
})
