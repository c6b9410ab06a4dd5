/**
 * Lines of a text that arrives in chunks. No more of an unfinished line is kept than its longest length.
 * @module
 */
import { StringDecoder } from 'node:string_decoder'
import { err, ok, type Result } from 'neverthrow'

const lineFeed = 0x0a

/** Splits chunks of UTF-8 into lines. */
export interface LineReader {
  /** Bytes of the unfinished line. */
  readonly bytes: number
  /**
   * Adds a chunk.
   * @param chunk - the bytes
   * @returns the lines that it completes, without their ends, or the number of the line that is too long, from 1
   */
  add (chunk: Uint8Array): Result<string[], number>
  /**
   * Ends the text.
   * @returns the last line, empty if the text ends with a line break
   */
  end (): string
}

/**
 * Creates a reader.
 * @param maxLineBytes - longest line, in bytes, without its end
 * @returns the reader
 */
export function createLineReader (maxLineBytes: number): LineReader {
  let decoder = new StringDecoder('utf8')
  let parts: string[] = []
  let bytes = 0
  let count = 0

  function add (part: Uint8Array): void {
    bytes += part.length
    parts.push(decoder.write(Buffer.from(part.buffer, part.byteOffset, part.length)))
  }

  function take (): string {
    const line = parts.join('') + decoder.end()
    decoder = new StringDecoder('utf8')
    parts = []
    bytes = 0
    count++
    return line.endsWith('\r') ? line.slice(0, -1) : line
  }

  return {
    get bytes () { return bytes },
    add (chunk) {
      const lines: string[] = []
      let start = 0
      for (let end = chunk.indexOf(lineFeed); end >= 0; end = chunk.indexOf(lineFeed, start)) {
        if (bytes + end - start > maxLineBytes) return err(count + 1)
        add(chunk.subarray(start, end))
        lines.push(take())
        start = end + 1
      }
      if (bytes + chunk.length - start > maxLineBytes) return err(count + 1)
      if (start < chunk.length) add(chunk.subarray(start))
      return ok(lines)
    },
    end: take
  }
}
