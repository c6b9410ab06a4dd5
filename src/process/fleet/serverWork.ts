/**
 * The work that live requests of this host still are for backend servers, beyond their number, and the memory that they hold.
 * @module
 */
import type { RequestCost } from '../../request/placement/requestCost.ts'

/** Work beyond the number of requests from which a server is named in a load report, in usual requests. */
const minReportedExtra = 1

/** Tokens from which a server is named in a load report; the requests of hosts that hold less are counted with the mean. */
const minReportedTokens = 4_096

/** Maximum number of servers in a load report. */
const maxReportedServers = 32

/** Work beyond the number of the requests, in usual requests, and tokens held, both rounded. */
export type ReportedWork = readonly [extra: number, tokens: number]

/** Work by id of the server. */
export type ReportedWorks = Readonly<Record<string, ReportedWork>>

interface Work {
  requests: number
  work: number
  tokens: number
}

/** Work of this host's requests. */
export interface ServerWork {
  /**
   * Adds a request that is sent to a server.
   * @param id - id of the server
   * @param cost - its likely cost
   * @returns removes it again, once its attempt has ended
   */
  add (id: string, cost: RequestCost): () => void
  /** Returns the work on a server beyond the number of the requests, in usual requests; negative if they are less than usual. */
  getExtra (id: string): number
  /** Returns the tokens that the requests hold on a server. */
  getTokens (id: string): number
  /** Describes the servers with much more work than requests for a load report; undefined without any. */
  describe (): ReportedWorks | undefined
}

/**
 * Creates the work of a host without requests.
 * @returns the work
 */
export function createServerWork (): ServerWork {
  const works = new Map<string, Work>()
  return {
    add (id, { work, tokens }) {
      const known = works.get(id) ?? { requests: 0, work: 0, tokens: 0 }
      works.set(id, known)
      known.requests++
      known.work += work
      known.tokens += tokens
      return () => {
        known.requests--
        known.work -= work
        known.tokens -= tokens
        if (known.requests === 0 && works.get(id) === known) works.delete(id)
      }
    },
    getExtra (id) {
      const known = works.get(id)
      return known === undefined ? 0 : known.work - known.requests
    },
    getTokens: id => works.get(id)?.tokens ?? 0,
    describe () {
      const described: Record<string, ReportedWork> = {}
      let count = 0
      for (const [id, { requests, work, tokens }] of works) {
        const extra = work - requests
        if (extra < minReportedExtra && tokens < minReportedTokens) continue
        if (count++ >= maxReportedServers) break
        described[id] = [Math.max(0, Math.round(extra)), Math.round(tokens)]
      }
      return count === 0 ? undefined : described
    }
  }
}
