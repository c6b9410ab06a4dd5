/**
 * What crowds of clients send: bodies that stop short of their end, in pieces of different sizes, or far over a limit.
 * @module
 */
import type { CrowdPlan } from './callerCrowd.ts'

/** Bytes by which an upload stops short of its end. */
const missingBytes = 4

/** Chunks of one byte in an upload, far fewer than the limit of a body allows. */
export const tinyChunks = 250_000

/** A chunk of one byte. */
export const tinyChunk = Buffer.from('1\r\na\r\n')

/** A chunk of 64 KiB. */
export const largeChunk = Buffer.from(`10000\r\n${'a'.repeat(0x10000)}\r\n`)

/** Bytes without any framing. */
const plainBlock = Buffer.alloc(16_384, 'a')

/** Requests that each connection sends without waiting for answers. */
const pipelinedRequests = 1_000

/** A request that a crowd sends. */
export interface CrowdRequest {
  readonly method: string
  readonly path: string
  /** Lines of the head beside the framing. */
  readonly fields?: readonly string[]
}

function writeHead ({ method, path, fields = [] }: CrowdRequest, ...framing: readonly string[]): string {
  return `${[`${method} ${path} HTTP/1.1`, 'host: a.example', ...fields, ...framing].join('\r\n')}\r\n\r\n`
}

/**
 * Plans bodies of an announced length.
 * @param connections - number of connections
 * @param request - the request
 * @param announcedBytes - the announced length, in bytes
 * @param bytes - the length that is sent, in bytes; by default it stops just short of the end
 * @returns the plan
 */
export function planAnnouncedBodies (connections: number, request: CrowdRequest, announcedBytes: number, bytes = announcedBytes - missingBytes): CrowdPlan {
  return { connections, head: writeHead(request, `content-length: ${announcedBytes}`), block: plainBlock, bytes, isReading: true }
}

/**
 * Plans bodies in chunks that never end.
 * @param connections - number of connections
 * @param request - the request
 * @param chunk - the chunk
 * @param chunks - its repetitions on each connection
 * @returns the plan
 */
export function planChunkedBodies (connections: number, request: CrowdRequest, chunk: Buffer, chunks: number): CrowdPlan {
  return { connections, head: writeHead(request, 'transfer-encoding: chunked'), block: chunk, bytes: chunks * chunk.length, isReading: true }
}

/**
 * Plans what sends no complete body: requests that do not wait for answers, heads that do not end, and connections without any request.
 * @param request - the request
 * @returns the plans, by their names
 */
export function planBodilessCrowds (request: CrowdRequest): Readonly<Record<string, CrowdPlan>> {
  const block = Buffer.from(writeHead(request))
  const head = writeHead(request).replace('\r\n\r\n', '\r\nx: ')
  return {
    'requests that do not wait for answers': { connections: 100, head: '', block, bytes: pipelinedRequests * block.length, isReading: true },
    'heads that do not end': { connections: 800, head, block: plainBlock, bytes: 60_000, isReading: true },
    'many connections': { connections: 1_500, head: '', block: plainBlock, bytes: 0, isReading: true }
  }
}

/**
 * Plans requests whose answers nobody reads.
 * @param connections - number of connections
 * @param request - the request
 * @param requests - number of requests on each connection
 * @returns the plan
 */
export function planUnreadAnswers (connections: number, request: CrowdRequest, requests: number): CrowdPlan {
  const block = Buffer.from(writeHead(request))
  return { connections, head: '', block, bytes: requests * block.length, isReading: false }
}
