/**
 * Encodes the entries of append requests. An entry is encoded and compressed once and sent to each follower in this form.
 * @module
 */
import { Packr } from 'msgpackr'
import type { Entry, Payload } from '../process/log/storage.ts'
import { compress, compressionThresholdBytes, decompress } from './frames.ts'

/**
 * Maximum size of the encoded entries that are kept for other followers, in bytes; followers that are further behind have them encoded again.
 * Enough for the configurations of some 30 s in quick succession, while a host that has lost its disk receives a snapshot.
 */
const maxKeptBytes = 4 * 1024 * 1024

const codec = new Packr({ useRecords: false, encodeUndefinedAsNil: false, copyBuffers: true })

/** An entry as sent to followers. */
export interface EncodedEntry {
  readonly index: number
  readonly term: number
  /** The payload in MessagePack. */
  readonly bytes: Uint8Array
  readonly isCompressed: boolean
}

/** Encoder of entries. */
export interface EntryEncoder {
  /**
   * Encodes entries.
   * @param entries - the entries
   * @returns the encoded entries, in order
   */
  encode (entries: readonly Entry[]): Promise<EncodedEntry[]>
  /**
   * Finds the encoded size of an entry.
   * @param entry - the entry
   * @returns the size in bytes, or undefined if its encoding is not kept
   */
  findSize (entry: Entry): number | undefined
}

/**
 * Creates an encoder.
 * @returns the encoder
 */
export function createEntryEncoder (): EntryEncoder {
  // By index, since a map of the entries would keep each of them alive, and an entry may be many times as large as its encoding. Index and term
  // identify an entry in every log.
  const encodedEntries = new Map<number, EncodedEntry>()
  // Large entries are compressed in the thread pool; the tasks of all followers ask for a new entry meanwhile.
  const encodings = new Map<Entry, Promise<EncodedEntry>>()
  let keptBytes = 0

  function find ({ index, term }: Entry): EncodedEntry | undefined {
    const encoded = encodedEntries.get(index)
    return encoded?.term === term ? encoded : undefined
  }

  function remove (index: number): void {
    keptBytes -= encodedEntries.get(index)?.bytes.length ?? 0
    encodedEntries.delete(index)
  }

  function keep (encoded: EncodedEntry): void {
    // An entry of an earlier term may have had the index.
    remove(encoded.index)
    encodedEntries.set(encoded.index, encoded)
    keptBytes += encoded.bytes.length
    for (const oldest of encodedEntries.keys()) {
      if (keptBytes <= maxKeptBytes || oldest === encoded.index) return
      remove(oldest)
    }
  }

  async function encodeOnce (entry: Entry): Promise<EncodedEntry> {
    const encoding = encodings.get(entry) ?? encodeEntry(entry)
    encodings.set(entry, encoding)
    try {
      const encoded = await encoding
      keep(encoded)
      return encoded
    } finally {
      encodings.delete(entry)
    }
  }

  return {
    async encode (entries) {
      const encoded: EncodedEntry[] = []
      for (const entry of entries) encoded.push(find(entry) ?? await encodeOnce(entry))
      return encoded
    },
    findSize: entry => find(entry)?.bytes.length
  }
}

/**
 * Decodes entries.
 * @param entries - entries as received; those of a version that did not encode them are returned unchanged
 * @returns the entries, in order; rejects when one is damaged
 */
export async function decodeEntries (entries: ReadonlyArray<EncodedEntry | Entry>): Promise<Entry[]> {
  const decoded: Entry[] = []
  for (const entry of entries) decoded.push('payload' in entry ? entry : await decodeEntry(entry))
  return decoded
}

async function encodeEntry ({ index, term, payload }: Entry): Promise<EncodedEntry> {
  const plain = codec.pack(payload)
  // A copy, since the result of the codec is a part of a larger buffer.
  if (plain.length < compressionThresholdBytes) return { index, term, bytes: Buffer.from(plain), isCompressed: false }
  const compressed = compress(plain)
  return { index, term, bytes: compressed instanceof Promise ? await compressed : compressed, isCompressed: true }
}

async function decodeEntry ({ index, term, bytes, isCompressed }: EncodedEntry): Promise<Entry> {
  const plain = isCompressed ? decompress(bytes) : bytes
  return { index, term, payload: codec.unpack(plain instanceof Promise ? await plain : plain as Buffer) as Payload }
}
