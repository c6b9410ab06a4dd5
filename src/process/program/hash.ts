/**
 * Non-cryptographic hashes for load distribution.
 * @module
 */

/**
 * Hashes a text with 32-bit FNV-1a and the finalizer of MurmurHash3.
 * @param text - the text
 * @returns an unsigned 32-bit integer
 */
export function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  return mixBits(hash)
}

/**
 * Combines two hashes into a score for rendezvous hashing.
 * @param left - one hash
 * @param right - the other hash
 * @returns an unsigned 32-bit integer
 */
export function combineHashes (left: number, right: number): number {
  return mixBits(Math.imul(left, 0x9e3779b1) ^ right)
}

// The finalizer of MurmurHash3: each input bit flips about half of the output bits.
function mixBits (value: number): number {
  let mixed = value
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
