/**
 * Bodies of clients' requests while they arrive. Each takes a share of the memory for clients, and is read within its limits.
 * @module
 */
import type { ServerResponse } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { type ByteCollector, createByteCollector } from '../process/program/byteCollector.ts'
import { maxTimerMs } from '../process/program/units.ts'
import { createFailure, FailureReason, type Step } from '../process/program/failure.ts'
import { HoldingKind, type MemoryBudget, type MemoryHolding } from '../process/program/memoryBudget.ts'
import type { ClientMessage } from './clientMessage.ts'
import { whenEnded } from './exchangeEnd.ts'
import type { FragmentedUploads } from './fragmentedUploads.ts'
import { BodyProblem } from './opaqueRequest.ts'

/** Limits of a body. */
export interface UploadLimits {
  readonly bodyBytes: number
  /** Longest time without a further chunk, in milliseconds. */
  readonly idleMs: number
}

/** Whose body it is. */
export interface UploadDescription {
  /** Client account of the caller; undefined if it is not known. */
  readonly account?: string | undefined
  /** Whether it is an order of an operator, which gives way after the bodies of callers. */
  readonly isOrder?: boolean | undefined
}

/** The body of a request while it arrives, with the bytes that the process holds of it. */
export interface Upload {
  readonly request: ClientMessage
  readonly limits: UploadLimits
  readonly holding: MemoryHolding
  readonly fragmented: FragmentedUploads
  /** Called as soon as the body has to give way; otherwise the connection is closed. */
  onGivenWay: (() => void) | undefined
}

/** What uploads of a process share. */
export interface UploadResources {
  readonly budget: MemoryBudget
  readonly fragmented: FragmentedUploads
}

/** The start of a body. */
export interface BodyStart {
  readonly bytes: ByteCollector
  /** Whether it is the complete body. */
  readonly isComplete: boolean
}

/**
 * Starts the upload of a body.
 * @param request - the request
 * @param limits - limits of the length and of the idle time
 * @param resources - the budget and the fragmented uploads of the process
 * @param description - whose body it is
 * @returns the upload, which is to be closed with `closeWhenEnded`
 */
export function openUpload (request: ClientMessage, limits: UploadLimits, { budget, fragmented }: UploadResources, { account, isOrder = false }: UploadDescription = {}): Upload {
  const upload: Upload = {
    request,
    limits,
    fragmented,
    holding: budget.open({
      kind: isOrder ? HoldingKind.Order : HoldingKind.Upload,
      account,
      giveWay () {
        if (upload.onGivenWay === undefined) request.destroy()
        else upload.onGivenWay()
      }
    }),
    onGivenWay: undefined
  }
  return upload
}

/**
 * Closes an upload when the response to its request has ended or can't be sent any more.
 * @param upload - the upload
 * @param response - the response
 */
export function closeWhenEnded ({ request, holding, fragmented }: Upload, response: ServerResponse): void {
  whenEnded(request.socket, response, () => {
    holding.close()
    fragmented.remove(holding)
  })
}

/**
 * Finds the announced length of a body.
 * @param request - the request
 * @returns the length, in bytes; 0 if there is no body, undefined if it is sent in chunks
 */
export function findAnnouncedLength ({ headers }: ClientMessage): number | undefined {
  const declared = headers['content-length']
  if (declared !== undefined) return Number(declared)
  return headers['transfer-encoding'] === undefined ? 0 : undefined
}

/** Reads the chunks of a body in order and enforces its limits. */
export interface ChunkReader {
  /** Bytes read so far. */
  readonly bytes: number
  /**
   * Reads one chunk.
   * @returns the chunk, undefined at the end of the body, or the limit exceeded; rejects when the caller disconnects
   */
  next (): Promise<Result<Buffer | undefined, BodyProblem>>
}

/**
 * Creates the reader of a body. Only one may be created for an upload.
 * @param upload - the upload
 * @returns the reader
 */
export function createChunkReader (upload: Upload): ChunkReader {
  const { request, limits, holding, fragmented } = upload
  // With the default, ending the iteration destroys the request and closes the connection before the response is sent.
  const chunks: AsyncIterator<Buffer> = request.iterator({ destroyOnReturn: false })
  let bytes = 0
  return {
    get bytes () { return bytes },
    next: () => new Promise((resolve, reject) => {
      if (holding.hasGivenWay) return resolve(err(BodyProblem.GaveWay))
      const giveWay = (): void => resolve(err(BodyProblem.GaveWay))
      upload.onGivenWay = giveWay
      const timer = setTimeout(() => resolve(err(BodyProblem.Stalled)), Math.min(maxTimerMs, limits.idleMs))
      chunks.next().then(({ done, value }) => {
        if (done === true) return resolve(ok(undefined))
        bytes += value.length
        if (request.isFragmented) fragmented.add(holding)
        resolve(bytes > limits.bodyBytes ? err(BodyProblem.TooLarge) : ok(value))
      }).catch(reject).finally(() => {
        clearTimeout(timer)
        // The next chunk may be awaited already.
        if (upload.onGivenWay === giveWay) upload.onGivenWay = undefined
      })
    })
  }
}

/** The chunks of a body that is read while it is used. */
export interface ChunkStream {
  /** Why reading failed; undefined while it has not, or after the client has disconnected. */
  readonly problem: BodyProblem | undefined
  /**
   * Reads the chunks once; what is not read is discarded.
   * @returns the chunks in order; throws a failure when the body has a problem, or the error of the connection
   */
  consume (): AsyncGenerator<Buffer, void>
}

/**
 * Creates the stream of the chunks that have not been read.
 * @param upload - the upload
 * @param reader - its reader
 * @param step - step of the request, for the failure
 * @returns the stream
 */
export function createChunkStream ({ request }: Upload, reader: ChunkReader, step: Step): ChunkStream {
  let problem: BodyProblem | undefined
  return {
    get problem () { return problem },
    async * consume () {
      try {
        while (true) {
          const chunk = await reader.next()
          if (chunk.isErr()) {
            problem = chunk.error
            throw createFailure(FailureReason.Invalid, { step }, `request body ${problem} after ${reader.bytes} bytes`)
          }
          if (chunk.value === undefined) return
          yield chunk.value
        }
      } finally {
        request.discardRest()
      }
    }
  }
}

/**
 * Receives the start of a body.
 * @param upload - the upload
 * @param reader - its reader
 * @param maxBytes - number of bytes from which no further chunk is read
 * @returns the start, or why it can't be received; rejects when the client disconnects
 */
export async function receiveStart ({ request, holding }: Upload, reader: ChunkReader, maxBytes: number): Promise<Result<BodyStart, BodyProblem>> {
  const bytes = createByteCollector()
  request.once('error', () => bytes.discard())
  while (reader.bytes <= maxBytes) {
    const chunk = await reader.next()
    if (chunk.isOk() && chunk.value === undefined) {
      holding.protect()
      return ok({ bytes, isComplete: true })
    }
    if (chunk.isOk() && chunk.value !== undefined) bytes.add(chunk.value)
    const problem = chunk.isErr() ? chunk.error : holding.resize(bytes.heldBytes + request.unreadBytes) ? undefined : BodyProblem.GaveWay
    if (problem === undefined) continue
    bytes.discard()
    return err(problem)
  }
  return ok({ bytes, isComplete: false })
}

/**
 * Receives a body completely.
 * @param upload - the upload
 * @returns the body, or why it can't be received; rejects when the client disconnects
 */
export async function receiveWhole (upload: Upload): Promise<Result<Buffer, BodyProblem>> {
  const length = findAnnouncedLength(upload.request)
  if (length !== undefined && length > upload.limits.bodyBytes) return err(BodyProblem.TooLarge)
  if (length === 0) return ok(Buffer.alloc(0))
  return (await receiveStart(upload, createChunkReader(upload), Infinity)).map(({ bytes }) => bytes.take())
}
