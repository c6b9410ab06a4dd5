/**
 * Codec of the frames in files. A frame is the unit of one sync: a header of 24 bytes and a body of msgpack records. The
 * header holds a magic number, the length of the body, the offset of the frame in its file, the CRC-32 of the body and the
 * CRC-32 of the header.
 * @module
 */
import { crc32 } from 'node:zlib'
import { Packr } from 'msgpackr'

const headerBytes = 24
const magic = Buffer.from('JCF1')

/** Maximum length of a body, in bytes; a header with a greater length is damaged. */
const maxBodyBytes = 256 * 1024 * 1024

const lengthOffset = 4
const positionOffset = 8
const bodyChecksumOffset = 14
const headerChecksumOffset = 20

// Bodies are copied, since a view of one body would keep the whole file in memory.
const codec = new Packr({ useRecords: false, encodeUndefinedAsNil: false, copyBuffers: true })

/** State of the end of a file of frames. */
export const ReadEnd = { Complete: 'complete', Torn: 'torn', Damaged: 'damaged' } as const
export type ReadEnd = typeof ReadEnd[keyof typeof ReadEnd]

/** The records decoded from a file. */
export interface DecodedRecords {
  readonly records: readonly unknown[]
  readonly end: ReadEnd
  /** Offset of the end of the last complete frame, in bytes. */
  readonly length: number
}

/**
 * Encodes one record.
 * @param record - any value that msgpack can encode
 * @returns the encoded record, a part of the body of a frame
 */
export function encodeRecord (record: unknown): Buffer {
  return codec.pack(record)
}

/**
 * Encodes a frame.
 * @param position - offset of the frame in its file, in bytes
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
 * Decodes a file of frames. Each frame is written only after the previous one is synced. An invalid frame that is followed
 * by a valid one is therefore damage; an invalid frame that is not is a torn write.
 * @param bytes - the content of the file
 * @returns the records of the complete frames, and the state of the end
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

// Returns the offset of the end of the frame at a position, or undefined when there is no complete and valid frame.
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

// Since the header holds the offset of the frame, caller data that has the form of a frame is not decoded as one.
function hasFrameAfter (bytes: Buffer, position: number): boolean {
  let candidate = bytes.indexOf(magic, position + 1)
  while (candidate >= 0) {
    if (endOfFrame(bytes, candidate) !== undefined) return true
    candidate = bytes.indexOf(magic, candidate + 1)
  }
  return false
}
