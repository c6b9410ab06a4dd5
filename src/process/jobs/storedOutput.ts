/**
 * Compression of the outputs of items, since the results of all jobs are kept in memory and in each snapshot of a control host.
 * @module
 */
import { constants, deflateRawSync, inflateRawSync } from 'node:zlib'

/** Minimum length of an output that is compressed, in characters; shorter ones gain little. */
const minCompressedCharacters = 512

/**
 * An output of an item: its text, or the text in UTF-8 and in the deflate format. An output that gains nothing stays a text, and so does one
 * in a snapshot of an earlier version of this program.
 */
export type StoredOutput = string | Uint8Array

/**
 * Compresses the output of an item.
 * @param output - the output
 * @returns the stored output
 */
export function storeOutput (output: string): StoredOutput {
  if (output.length < minCompressedCharacters) return output
  const compressed = deflateRawSync(output, { level: constants.Z_BEST_SPEED })
  // A copy, since the result is a view of a larger buffer.
  return compressed.length < output.length ? new Uint8Array(compressed) : output
}

/**
 * Returns the text of a stored output.
 * @param stored - the stored output
 * @returns the output
 */
export function readOutput (stored: StoredOutput): string {
  return typeof stored === 'string' ? stored : inflateRawSync(stored).toString('utf8')
}
