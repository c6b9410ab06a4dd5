import { expect } from 'chai'
import { countItemBytes, type Upload } from '../src/process/jobs/jobRecords.ts'
import { decideUploadSpace, hasJobSpace, UploadSpaceKind } from '../src/process/jobs/uploadSpace.ts'

const item = { name: 'i', input: 'a'.repeat(1_000), maxTokens: 1, priority: 0 } as const
const itemBytes = countItemBytes([item])
const limitBytes = 10 * itemBytes

describe('space for jobs that are being uploaded', () => {
  function upload (id: string, items: number): Upload {
    return { id, account: 'a', key: id, route: 'r', due: 0, items: Array.from({ length: items }, () => item), nextSequence: items }
  }

  function decide (uploads: readonly Upload[], id: string, idleMs: Readonly<Record<string, number>> = {}): string {
    const space = decideUploadSpace(uploads, { upload: id, bytes: itemBytes }, limitBytes, each => idleMs[each.id] ?? 0)
    return space.kind === UploadSpaceKind.Discard ? space.upload.id : space.kind
  }

  // Failure: a job within the limits of its length is refused in calm, because it is larger than the space for many.
  it('is there for an upload that is the only one, whatever its size', () => {
    expect(decide([upload('a', 50), upload('just opened', 0)], 'a')).to.equal(UploadSpaceKind.Fits)
  })

  // Failure: uploads that stop short of their end lock out others until they are discarded after a minute.
  it('is made by the upload without a chunk for the longest time, and refused while all go on', () => {
    const uploads = [upload('a', 4), upload('b', 3), upload('c', 3)]
    expect(decide(uploads, 'a')).to.equal(UploadSpaceKind.Full)
    expect(decide(uploads, 'a', { a: 90_000, b: 3_000, c: 5_000 })).to.equal('c')
    expect(decide(uploads, 'a', { b: 500, c: 900 })).to.equal(UploadSpaceKind.Full)
    expect(decide(uploads.slice(0, 2), 'a', { b: 3_000 })).to.equal(UploadSpaceKind.Fits)
  })

  // Failure: chunks that arrive after the first count are not counted.
  it('counts the items of later chunks', () => {
    const growing = upload('a', 4)
    const uploads = [growing, upload('b', 3)]
    expect(decide(uploads, 'b')).to.equal(UploadSpaceKind.Fits)
    growing.items.push(item, item, item)
    expect(decide(uploads, 'b')).to.equal(UploadSpaceKind.Full)
  })

  // Failure: sealed jobs take memory without a limit, or a job that is alone is refused because of its size.
  it('is limited by the items of sealed jobs until they have run', () => {
    expect(hasJobSpace(0, [upload('a', 50)], itemBytes, limitBytes)).to.equal(true)
    expect(hasJobSpace(5 * itemBytes, [upload('a', 4)], itemBytes, limitBytes)).to.equal(true)
    expect(hasJobSpace(5 * itemBytes, [upload('a', 4), upload('b', 1)], itemBytes, limitBytes)).to.equal(false)
    expect(hasJobSpace(11 * itemBytes, [], 0, limitBytes)).to.equal(false)
  })
})
