/**
 * Backend servers of the soak, inside its own process: they stream events, fail some items at each run, and can crash.
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { encodeData, eventCount } from './soakEvents.ts'

const eventIntervalMs = 15

/** Interval between the events of a request with `longPath`, in milliseconds. */
const longEventIntervalMs = 60

/** Path of a live request that takes longer than the others. */
export const longPath = '/live/long-'

/** Path of a request that fails at each run. */
export const failingPath = '/batch/failing'

/** Prompt part under which a server crashes when it begins to answer. */
export const crashingPart = 'dead'

/** Time for which a server is down after such a crash, in milliseconds. */
const downMs = 400

/** A request that a server began to run. */
export interface SoakRun {
  readonly id: string
  readonly path: string
  /** Id of the last event that the request named; undefined for a run from the start. */
  readonly resumedAfter: number | undefined
  readonly at: number
  /** Client account that the request named. */
  readonly account: string | undefined
  /** Whether the request carried a key. */
  readonly hasKey: boolean
}

/** A backend server. */
export interface SoakServer {
  /** Id of the current start. */
  readonly id: string
  /** Version of the software of the current start. */
  readonly softwareVersion: string
  readonly address: string
  readonly runs: readonly SoakRun[]
  /** Time at which the current start began, in milliseconds since the epoch. */
  readonly startedAt: number
  readonly isUp: boolean
  /** Number of crashes by requests. */
  readonly crashes: number
  /** Requests per second that it names as its limit; undefined for none. */
  requestLimit: number | undefined
  /** Closes all connections and refuses new ones until `restart`. */
  crash (): void
  /** Crashes; the next start has other software, and an id of its own at the same address. */
  replace (softwareVersion: string): void
  restart (): Promise<void>
  close (): void
}

/**
 * Starts a server.
 * @param firstId - its id until it is replaced
 * @param firstVersion - version of its software until it is replaced
 * @returns the server
 */
export async function startSoakServer (firstId: string, firstVersion: string): Promise<SoakServer> {
  const runs: SoakRun[] = []
  const sockets = new Set<Socket>()
  let server: Server
  let port = 0
  let isUp = false
  let isClosed = false
  let startedAt = Date.now()
  let crashes = 0
  let id = firstId
  let softwareVersion = firstVersion
  let replacements = 0

  function handle (request: IncomingMessage, response: ServerResponse): void {
    request.resume()
    request.once('end', () => {
      if (request.headers['x-expect-instance'] !== id) return response.writeHead(421, { 'x-not-executed': '1' }).end()
      const lastEvent = request.headers['last-event-id']
      const run = { id: String(request.headers['x-request-id']), path: request.url ?? '', resumedAfter: lastEvent === undefined ? undefined : Number(lastEvent), at: performance.now(), account: request.headers['x-tenant']?.toString(), hasKey: request.headers['x-credential'] !== undefined }
      runs.push(run)
      if (String(request.headers['x-prefix-hash'] ?? '').includes(`${crashingPart}:`)) return crashByRequest()
      if (run.path.startsWith(failingPath)) response.writeHead(500, { 'x-server-stamp': id }).end()
      else streamEvents(response, (run.resumedAfter ?? -1) + 1, run.path.startsWith(longPath) ? longEventIntervalMs : eventIntervalMs)
    })
  }

  function streamEvents (response: ServerResponse, first: number, intervalMs: number): void {
    const { requestLimit } = soakServer
    const writer = softwareVersion
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-server-stamp': `stamp-${id}`, ...(requestLimit === undefined ? {} : { 'server-limit': String(requestLimit) }) })
    let next = first
    const timer = setInterval(() => {
      if (next < eventCount) response.write(`id: ${next}\ndata: ${encodeData({ id: next, softwareVersion: writer })}\n\n`)
      next++
      if (next < eventCount) return
      clearInterval(timer)
      response.end()
    }, intervalMs)
    response.once('close', () => clearInterval(timer))
  }

  async function listen (): Promise<void> {
    if (isUp) return
    server = createServer(handle)
    server.on('connection', socket => {
      sockets.add(socket)
      socket.once('close', () => sockets.delete(socket))
    })
    await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve))
    port = (server.address() as AddressInfo).port
    startedAt = Date.now()
    isUp = true
  }

  function crashByRequest (): void {
    crashes++
    crash()
    setTimeout(() => { if (!isClosed) listen().catch(() => {}) }, downMs)
  }

  function crash (): void {
    if (!isUp) return
    isUp = false
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
  }

  const soakServer: SoakServer = {
    get id () { return id },
    get softwareVersion () { return softwareVersion },
    get address () { return `127.0.0.1:${port}` },
    runs,
    get startedAt () { return startedAt },
    get isUp () { return isUp },
    get crashes () { return crashes },
    requestLimit: undefined,
    crash,
    replace (version) {
      crash()
      id = `${firstId}-${++replacements}`
      softwareVersion = version
    },
    restart: listen,
    close () {
      isClosed = true
      crash()
    }
  }
  await listen()
  return soakServer
}
