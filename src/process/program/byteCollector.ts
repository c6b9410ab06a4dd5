/**
 * Collects bytes that arrive in pieces of any size. Each piece of a stream costs a few hundred bytes beside its content, so pieces are
 * copied into blocks.
 * @module
 */

import { releaseBytes } from './releaseBytes.ts'

/** Largest block, in bytes. */
const maxBlockBytes = 64 * 1024

/** Size from which a piece is kept as it is, in bytes. */
const minKeptBytes = 16 * 1024

/** Size up to which bytes are copied one by one, which is faster than a view of the piece. */
const maxLoopBytes = 16

const emptyBlock = Buffer.alloc(0)

/** Bytes in order of arrival. */
export interface ByteCollector {
  /** Number of collected bytes. */
  readonly bytes: number
  /** Memory that they take, in bytes. */
  readonly heldBytes: number
  /**
   * Adds a piece. The first one and large ones are kept as they are, others are copied.
   * @param piece - the bytes, which must not change afterwards
   */
  add (piece: Uint8Array): void
  /**
   * Removes all bytes.
   * @returns the bytes
   */
  take (): Buffer
  /** Removes all bytes and frees their memory. */
  discard (): void
}

/**
 * Creates an empty collector.
 * @returns the collector
 */
export function createByteCollector (): ByteCollector {
  let blocks: Buffer[] = []
  let last: Buffer = emptyBlock
  // Bytes of the last block that are in use.
  let filled = 0
  let bytes = 0
  let heldBytes = 0

  function addBlock (block: Buffer, used: number): void {
    blocks.push(block)
    last = block
    filled = used
    heldBytes += block.length
  }

  function keep (piece: Uint8Array): void {
    addBlock(Buffer.from(piece.buffer, piece.byteOffset, piece.length), piece.length)
    bytes += piece.length
  }

  function copy (piece: Uint8Array): void {
    if (piece.length > maxLoopBytes) last.set(piece, filled)
    else for (const byte of piece) last[filled++] = byte
    if (piece.length > maxLoopBytes) filled += piece.length
    bytes += piece.length
  }

  function reset (): void {
    blocks = []
    last = emptyBlock
    bytes = heldBytes = filled = 0
  }

  return {
    get bytes () { return bytes },
    get heldBytes () { return heldBytes },
    add (piece) {
      const free = last.length - filled
      if (piece.length <= free) return copy(piece)
      if (free > 0) copy(piece.subarray(0, free))
      const rest = free > 0 ? piece.subarray(free) : piece
      if (bytes === 0 || rest.length >= minKeptBytes) return keep(rest)
      addBlock(Buffer.allocUnsafeSlow(Math.min(maxBlockBytes, Math.max(bytes, rest.length))), 0)
      copy(rest)
    },
    take () {
      const used = last.subarray(0, filled)
      if (blocks.length <= 1) {
        reset()
        return used
      }
      const all = Buffer.concat([...blocks.slice(0, -1), used])
      this.discard()
      return all
    },
    discard () {
      for (const block of blocks) releaseBytes(block)
      reset()
    }
  }
}
