/**
 * Bodies of any length that are read while they are used.
 * @module
 */
import type { Context } from 'hono'
import type { ClientExchange } from '../connection/clientServer.ts'
import type { BodyProblem } from '../connection/opaqueRequest.ts'
import { closeWhenEnded, createChunkReader, createChunkStream, findAnnouncedLength, openUpload } from '../connection/upload.ts'
import { Step } from '../process/program/failure.ts'

/** A body that is read once. The iteration throws when the body can't be received further. */
export interface StreamedBody extends AsyncIterable<Uint8Array> {
  /** Why the body can't be received further; undefined while it can, or after the client has disconnected. */
  readonly problem: BodyProblem | undefined
  /**
   * Changes the number of bytes that count to the memory for clients.
   * @param bytes - bytes of the body that its user holds
   * @returns whether they may be kept; after false the request is to be refused
   */
  resize (bytes: number): boolean
}

/**
 * Creates the body of a request.
 * @param context - the request
 * @param idleMs - longest time without a further chunk, in milliseconds
 * @returns the body, or undefined if there is none
 */
export function createStreamedBody (context: Context, idleMs: number): StreamedBody | undefined {
  const { incoming, outgoing, resources } = (context.env ?? {}) as Partial<ClientExchange>
  if (incoming === undefined || outgoing === undefined || resources === undefined) {
    const { body } = context.req.raw
    return body === null ? undefined : { problem: undefined, resize: () => true, [Symbol.asyncIterator]: () => body[Symbol.asyncIterator]() }
  }
  if (findAnnouncedLength(incoming) === 0) return undefined
  const upload = openUpload(incoming, { bodyBytes: Infinity, idleMs }, resources)
  closeWhenEnded(upload, outgoing)
  const chunks = createChunkStream(upload, createChunkReader(upload), Step.Admit)
  return {
    get problem () { return chunks.problem },
    resize: bytes => upload.holding.resize(bytes),
    async * [Symbol.asyncIterator] () {
      try {
        yield * chunks.consume()
      } finally {
        // The rest of the body could not be distinguished from the next request on the connection.
        if (!incoming.complete) context.header('connection', 'close')
      }
    }
  }
}
