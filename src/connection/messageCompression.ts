/**
 * Compression of large messages between hosts. The link between regions is paid for by the byte; small messages are sent
 * as they are, since their headers outweigh the gain.
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { buffer } from 'node:stream/consumers'
import { promisify } from 'node:util'
import { constants, createGunzip, gzip } from 'node:zlib'

/** Length from which a message is compressed, in bytes. */
export const compressionBytes = 4_096

const compress = promisify(gzip)

// The lowest level takes about a third of the time of the default one; JSON of items shrinks nearly as far.
const options = { level: constants.Z_BEST_SPEED }

/**
 * Compresses the body of a request when it is large.
 * @param init - the request as tRPC makes it
 * @param fromBytes - length from which it is compressed, in bytes
 * @returns the request to send
 */
export async function compressRequest (init: RequestInit, fromBytes: number): Promise<RequestInit> {
  if (typeof init.body !== 'string' || init.body.length < fromBytes) return init
  const headers = new Headers(init.headers)
  headers.set('content-encoding', 'gzip')
  return { ...init, headers: Object.fromEntries(headers), body: await compress(init.body, options) }
}

/**
 * Reads the body of a compressed request into `body`, where tRPC takes it from.
 * @param request - the request
 * @param limitBytes - the longest body after decompression, in bytes
 * @returns a promise that resolves when the body was read, and rejects when it is damaged or too long
 */
export async function decompressRequest (request: IncomingMessage, limitBytes: number): Promise<void> {
  if (request.headers['content-encoding'] !== 'gzip') return
  const body = await readWithin(request, limitBytes)
  Object.assign(request, { body: body.toString() })
}

/**
 * Makes a response gather its body and compress it at the end when it is large and the caller takes gzip.
 * @param request - the request
 * @param response - its response
 */
export function compressResponse (request: IncomingMessage, response: ServerResponse): void {
  if (!String(request.headers['accept-encoding'] ?? '').includes('gzip')) return
  const chunks: Buffer[] = []
  const end = response.end.bind(response)

  async function finish (): Promise<void> {
    const body = Buffer.concat(chunks)
    if (body.length < compressionBytes) {
      end(body)
      return
    }
    const compressed = await compress(body, options)
    response.removeHeader('content-length')
    response.setHeader('content-encoding', 'gzip')
    end(compressed)
  }

  response.write = (chunk: Uint8Array | string): boolean => {
    chunks.push(Buffer.from(chunk as Uint8Array))
    return true
  }
  response.end = (chunk?: unknown): ServerResponse => {
    if (typeof chunk === 'string' || chunk instanceof Uint8Array) chunks.push(Buffer.from(chunk as Uint8Array))
    finish().catch(() => response.destroy())
    return response
  }
}

async function readWithin (request: IncomingMessage, limitBytes: number): Promise<Buffer> {
  let bytes = 0
  const plain = createGunzip()
  plain.on('data', (chunk: Buffer) => {
    bytes += chunk.length
    if (bytes > limitBytes) plain.destroy(new Error(`a message has more than ${limitBytes} bytes`))
  })
  request.once('error', error => plain.destroy(error))
  request.once('aborted', () => plain.destroy(new Error('the message broke off')))
  return await buffer(request.pipe(plain))
}
