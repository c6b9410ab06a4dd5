/**
 * Counts the values of a JSON text before it is parsed: a text of legal size can become objects of many times its size.
 * @module
 */

const quote = 0x22
const backslash = 0x5c
const comma = 0x2c
const openBracket = 0x5b
const openBrace = 0x7b

/**
 * Checks whether a text has more values than a limit.
 * @param text - the JSON text in UTF-8; what it means if it is none does not matter
 * @param limit - number of values
 * @returns whether it has more
 */
export function hasMoreValues (text: Buffer, limit: number): boolean {
  let count = 0
  let index = 0
  while (index < text.length && count <= limit) {
    const byte = text[index]
    // What begins a value outside of texts.
    if (byte === comma || byte === openBracket || byte === openBrace) count++
    index = byte === quote ? findTextEnd(text, index + 1) + 1 : index + 1
  }
  return count > limit
}

function findTextEnd (body: Buffer, start: number): number {
  let end = body.indexOf(quote, start)
  while (end > 0 && isEscaped(body, start, end)) end = body.indexOf(quote, end + 1)
  return end < 0 ? body.length : end
}

function isEscaped (body: Buffer, start: number, index: number): boolean {
  let first = index
  while (first > start && body[first - 1] === backslash) first--
  return (index - first) % 2 === 1
}
