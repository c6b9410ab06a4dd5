/**
 * The naive version that the benchmark compares with: round robin over all backend servers, no priorities, one queue
 * of connections for live and batch work, and three retries at once after any failure.
 * @module
 */
import { createParser } from 'eventsource-parser'
import { Pool } from 'undici'

const retryLimit = 3

/** A request for any backend server. */
export interface NaiveRequest {
  readonly requestId: string
  readonly input: string
  readonly maxTokens: number
  /** Called for each token. */
  readonly receive: () => void
}

/** The naive dispatcher. */
export interface Naive {
  /** Retries made so far. */
  readonly retries: number
  /**
   * Runs a request.
   * @param request - the request
   * @returns true when the answer was complete
   */
  run (request: NaiveRequest): Promise<boolean>
  /** Closes all connections. */
  close (): Promise<void>
}

/**
 * Creates the naive dispatcher.
 * @param addresses - addresses of the backend servers
 * @returns the dispatcher
 */
export function createNaive (addresses: readonly string[]): Naive {
  const pools = addresses.map(address => new Pool(`http://${address}`, { connections: 512, pipelining: 1 }))
  let next = 0
  let retries = 0

  async function attempt (request: NaiveRequest): Promise<boolean> {
    const pool = pools[next++ % pools.length]
    if (pool === undefined) return false
    let complete = false
    const parser = createParser({
      onEvent (event) {
        if ((JSON.parse(event.data) as { done?: boolean }).done === true) complete = true
        else request.receive()
      }
    })
    try {
      const answer = await pool.request({
        path: '/v1/generate',
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ requestId: request.requestId, prompt: request.input, maxTokens: request.maxTokens, offset: 0, partial: '' })
      })
      for await (const chunk of answer.body) parser.feed(String(chunk))
    } catch {
      return false
    }
    return complete
  }

  return {
    get retries () { return retries },
    async run (request) {
      for (let tries = 0; tries <= retryLimit; tries++) {
        if (tries > 0) retries++
        if (await attempt(request)) return true
      }
      return false
    },
    async close () {
      for (const pool of pools) await pool.destroy()
    }
  }
}
