/**
 * Frames on disk. A frame is what one sync made durable: a header of 24 bytes and a body of msgpack records. The header
 * holds a mark, the length of the body, the position of the frame in its file, the CRC-32 of the body and the CRC-32 of
 * the header.
 * @module
 */
import { crc32 } from 'node:zlib'
import { Packr } from 'msgpackr'

const headerBytes = 24
const magic = Buffer.from('JCF1')

/** Longest body that is believed; a longer length can only be damage. */
const maxBodyBytes = 256 * 1024 * 1024

const lengthOffset = 4
const positionOffset = 8
const bodyChecksumOffset = 14
const headerChecksumOffset = 20

const codec = new Packr({ useRecords: false, encodeUndefinedAsNil: false })

/** How reading a file of frames ended. */
export const ReadEnd = { Complete: 'complete', Torn: 'torn', Damaged: 'damaged' } as const
export type ReadEnd = typeof ReadEnd[keyof typeof ReadEnd]

/** The records of a file. */
export interface DecodedRecords {
  readonly records: readonly unknown[]
  readonly end: ReadEnd
  /** Bytes up to the end of the last whole frame. */
  readonly length: number
}

/**
 * Encodes one record.
 * @param record - any value that msgpack carries
 * @returns the record as part of a frame's body
 */
export function encodeRecord (record: unknown): Buffer {
  return codec.pack(record)
}

/**
 * Builds a frame.
 * @param position - position of the frame in its file, in bytes
 * @param records - encoded records
 * @returns header and body
 */
export function encodeFrame (position: number, records: readonly Buffer[]): Buffer {
  const body = Buffer.concat(records)
  const header = Buffer.alloc(headerBytes)
  magic.copy(header)
  header.writeUInt32LE(body.length, lengthOffset)
  header.writeUIntLE(position, positionOffset, 6)
  header.writeUInt32LE(crc32(body), bodyChecksumOffset)
  header.writeUInt32LE(crc32(header.subarray(0, headerChecksumOffset)), headerChecksumOffset)
  return Buffer.concat([header, body])
}

/**
 * Decodes a file of frames. Each frame is written after the one before it is synced, so a broken frame with a whole one
 * behind it is damage, and a broken frame with none behind it is a torn write.
 * @param bytes - the content of the file
 * @returns the records of the whole frames and how reading ended
 */
export function decodeFrames (bytes: Buffer): DecodedRecords {
  const records: unknown[] = []
  let position = 0
  while (position < bytes.length) {
    const end = endOfFrame(bytes, position)
    if (end === undefined) {
      return { records, end: hasFrameAfter(bytes, position) ? ReadEnd.Damaged : ReadEnd.Torn, length: position }
    }
    codec.unpackMultiple(bytes.subarray(position + headerBytes, end), (record: unknown) => { records.push(record) })
    position = end
  }
  return { records, end: ReadEnd.Complete, length: position }
}

function endOfFrame (bytes: Buffer, position: number): number | undefined {
  if (position + headerBytes > bytes.length) return undefined
  if (magic.compare(bytes, position, position + magic.length) !== 0) return undefined
  if (bytes.readUIntLE(position + positionOffset, 6) !== position) return undefined
  if (crc32(bytes.subarray(position, position + headerChecksumOffset)) !== bytes.readUInt32LE(position + headerChecksumOffset)) return undefined
  const length = bytes.readUInt32LE(position + lengthOffset)
  const end = position + headerBytes + length
  if (length > maxBodyBytes || end > bytes.length) return undefined
  if (crc32(bytes.subarray(position + headerBytes, end)) !== bytes.readUInt32LE(position + bodyChecksumOffset)) return undefined
  return end
}

// The header holds the position, so text of a caller that looks like a frame is not taken for one.
function hasFrameAfter (bytes: Buffer, position: number): boolean {
  let candidate = bytes.indexOf(magic, position + 1)
  while (candidate >= 0) {
    if (endOfFrame(bytes, candidate) !== undefined) return true
    candidate = bytes.indexOf(magic, candidate + 1)
  }
  return false
}
