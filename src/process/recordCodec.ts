/**
 * Records on disk: length (4 bytes), CRC-32 (4 bytes), msgpack body.
 * @module
 */
import { crc32 } from 'node:zlib'
import { Packr } from 'msgpackr'

const headerBytes = 8

/** Longest body that is believed; a longer length can only be damage. */
const bodyLimitBytes = 64 * 1024 * 1024

const codec = new Packr({ useRecords: false, encodeUndefinedAsNil: false })

/** How reading a file of records ended. */
export const ReadEnd = { Complete: 'complete', Torn: 'torn', Damaged: 'damaged' } as const
export type ReadEnd = typeof ReadEnd[keyof typeof ReadEnd]

/** The records of a file. */
export interface DecodedRecords {
  readonly records: readonly unknown[]
  readonly end: ReadEnd
  /** Bytes up to the end of the last whole record. */
  readonly length: number
}

/**
 * Encodes one record.
 * @param record - any value that msgpack carries
 * @returns header and body
 */
export function encodeRecord (record: unknown): Buffer {
  const body = codec.pack(record)
  const header = Buffer.allocUnsafe(headerBytes)
  header.writeUInt32LE(body.length, 0)
  header.writeUInt32LE(crc32(body), 4)
  return Buffer.concat([header, body])
}

/**
 * Decodes the records of a file. A record that runs past the end of the file, or a broken one that ends exactly there,
 * is a torn write; a broken record with bytes behind it is damage.
 * @param bytes - the content of the file
 * @returns the whole records and how reading ended
 */
export function decodeRecords (bytes: Buffer): DecodedRecords {
  const records: unknown[] = []
  let position = 0
  while (position < bytes.length) {
    if (position + headerBytes > bytes.length) return { records, end: ReadEnd.Torn, length: position }
    const length = bytes.readUInt32LE(position)
    if (length > bodyLimitBytes) return { records, end: ReadEnd.Damaged, length: position }
    const end = position + headerBytes + length
    if (end > bytes.length) return { records, end: ReadEnd.Torn, length: position }
    const body = bytes.subarray(position + headerBytes, end)
    if (crc32(body) !== bytes.readUInt32LE(position + 4)) {
      return { records, end: end === bytes.length ? ReadEnd.Torn : ReadEnd.Damaged, length: position }
    }
    records.push(codec.unpack(body))
    position = end
  }
  return { records, end: ReadEnd.Complete, length: position }
}
