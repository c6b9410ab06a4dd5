/**
 * The work that a request is likely to be for a backend server, and the memory that it is likely to hold there.
 *
 * Load pattern: requests that look alike cost servers very different amounts of work. A stream occupies a slot for as long as its
 * output, which callers only estimate: right at the median, and often far off. A request in the queue behind long ones waits for
 * longer than the number of requests says. So the length is the usual one of the route, and a caller's estimate moves it as far as such estimates
 * have proved right.
 */

/** What a caller says of the work for its request. */
export interface DeclaredWork {
  readonly promptTokens: number
  readonly maxOutputTokens: number
  /** Estimate of the length of the output, in tokens; undefined if the caller gives none. */
  readonly hintedTokens: number | undefined
}

/** Likely cost of a request. */
export interface RequestCost {
  /** Work, in usual requests of the service. */
  readonly work: number
  /** Tokens that it holds in the memory of the server at its end. */
  readonly tokens: number
}

/** A request whose cost is to be estimated, or was seen. */
export interface CostedRequest {
  readonly route: string
  readonly service: string
  readonly declared: DeclaredWork | undefined
  /** Tokens of the prompt that the server is likely to keep already. */
  readonly sharedTokens: number
}

/** Tokens of a prompt that engines read in the time between two events of a stream. */
const promptTokensPerEvent = 1_000

/** Weight of the latest request in the moving averages; about the last fifty contribute. */
const smoothingFactor = 0.02

/** Events of an output until the first one of the route has ended. */
const initialEvents = 20

/** Requests of a route before their lengths count. */
const minRequests = 10

/** Bounds of the work of a request, in usual requests: an estimate is often far off, and no single one is to empty or close a server. */
const minWork = 0.25
const maxWork = 8

interface RouteHistory {
  requests: number
  meanEvents: number
  /** Mean of the lengths that callers declared. */
  meanDeclared: number
  /** Variance of the declared lengths, and covariance with the real ones, both relative to their means. */
  variance: number
  covariance: number
}

interface ServiceHistory {
  requests: number
  meanWork: number
  meanTokens: number
}

/** Estimates costs from the requests that have ended. */
export interface CostEstimator {
  /** Estimates the cost of a request. */
  estimate (request: CostedRequest): RequestCost
  /** Returns the mean tokens that a request of a service holds; 0 as long as no request has declared any. */
  getMeanTokens (service: string): number
  /**
   * Records a request whose output was complete.
   * @param request - the request
   * @param events - events of its output
   */
  record (request: CostedRequest, events: number): void
}

/**
 * Creates an estimator that has seen no request.
 * @returns the estimator
 */
export function createCostEstimator (): CostEstimator {
  const routes = new Map<string, RouteHistory>()
  const services = new Map<string, ServiceHistory>()

  function estimateEvents ({ route, declared }: CostedRequest): number {
    const history = routes.get(route)
    if (history === undefined || history.requests < minRequests) return history?.meanEvents ?? initialEvents
    const { meanEvents, meanDeclared, variance, covariance } = history
    const length = getDeclaredLength(declared)
    if (length === undefined || meanDeclared <= 0 || variance <= 0) return meanEvents
    // The share of a difference between declared lengths that has shown in the real ones.
    const trust = Math.min(1, Math.max(0, covariance / variance))
    return Math.max(1, meanEvents * (1 + trust * (length / meanDeclared - 1)))
  }

  function computeWork ({ declared, sharedTokens }: CostedRequest, events: number): number {
    return events + Math.max(0, (declared?.promptTokens ?? 0) - sharedTokens) / promptTokensPerEvent
  }

  function countTokens ({ declared }: CostedRequest, events: number): number {
    return declared === undefined ? 0 : declared.promptTokens + Math.min(declared.maxOutputTokens, Math.max(events, declared.hintedTokens ?? 0))
  }

  return {
    estimate (request) {
      const events = estimateEvents(request)
      const service = services.get(request.service)
      const work = service === undefined || service.requests < minRequests ? 1 : computeWork(request, events) / Math.max(1, service.meanWork)
      return { work: Math.min(maxWork, Math.max(minWork, work)), tokens: countTokens(request, events) }
    },
    getMeanTokens: service => services.get(service)?.meanTokens ?? 0,
    record (request, events) {
      const route = routes.get(request.route) ?? { requests: 0, meanEvents: 0, meanDeclared: 0, variance: 0, covariance: 0 }
      routes.set(request.route, route)
      const weight = Math.max(smoothingFactor, 1 / ++route.requests)
      route.meanEvents += (events - route.meanEvents) * weight
      const length = getDeclaredLength(request.declared)
      if (length !== undefined) {
        route.meanDeclared += (length - route.meanDeclared) * weight
        const declaredDifference = length / Math.max(1, route.meanDeclared) - 1
        const realDifference = events / Math.max(1, route.meanEvents) - 1
        route.variance += (declaredDifference ** 2 - route.variance) * weight
        route.covariance += (declaredDifference * realDifference - route.covariance) * weight
      }
      const service = services.get(request.service) ?? { requests: 0, meanWork: 0, meanTokens: 0 }
      services.set(request.service, service)
      const serviceWeight = Math.max(smoothingFactor, 1 / ++service.requests)
      service.meanWork += (computeWork(request, events) - service.meanWork) * serviceWeight
      service.meanTokens += (countTokens(request, events) - service.meanTokens) * serviceWeight
    }
  }
}

/**
 * Computes the mean work of the requests on a server: a queue behind long requests moves slowly.
 * @param requests - number of the requests
 * @param extraWork - their work beyond that number, in usual requests
 * @returns the mean, in usual requests
 */
export function computeMeanWork (requests: number, extraWork: number): number {
  return Math.min(maxWork, Math.max(minWork, 1 + extraWork / Math.max(1, requests)))
}

/** Memory of a server, in tokens. */
export interface ServerMemory {
  /** Memory that the service states; 0 if it states none. */
  readonly capacity: number
  /** What the requests and items on the server are likely to hold. */
  readonly held: number
}

/** Share of the memory that is given out: estimates of single requests are off in both directions. */
const usableMemoryShare = 0.9

/**
 * Checks whether a request fits into the memory of a server; a server that holds more than its memory crashes.
 * @param memory - the memory of the server
 * @param tokens - tokens that the request is likely to hold
 * @returns whether it fits; also for a server without any work, which can refuse what is too large
 */
export function fitsMemory ({ capacity, held }: ServerMemory, tokens: number): boolean {
  return capacity <= 0 || held <= 0 || held + tokens <= capacity * usableMemoryShare
}

function getDeclaredLength (declared: DeclaredWork | undefined): number | undefined {
  return declared?.hintedTokens ?? declared?.maxOutputTokens
}
