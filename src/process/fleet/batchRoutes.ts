/**
 * The batch routes of jobs by the tables in force.
 * @module
 */
import { createRouteIndex, type GatewayRoute, matchRoute, type RouteIndex, RouteKind } from '../../version/gatewayTables.ts'
import type { SubmissionRecord } from '../jobs/submissions.ts'
import type { ControlState } from '../state/controlState.ts'

/** Batch routes of jobs. */
export interface BatchRoutes {
  /** Whether tables are in force. */
  readonly hasTables: boolean
  /** Takes over the tables that are in force. */
  update (): void
  /**
   * Finds the batch route of a job. The result is kept until the tables change, since a plan asks for it for every open item.
   * @param record - the job
   * @returns the route, or undefined when the tables have none for it
   */
  find (record: SubmissionRecord): GatewayRoute | undefined
}

/**
 * Creates the routes without tables.
 * @param state - the replicated state with the tables
 * @returns the routes
 */
export function createBatchRoutes (state: Pick<ControlState, 'publication'>): BatchRoutes {
  let routes: RouteIndex = new Map()
  let version = -1
  let routesByJob = new WeakMap<SubmissionRecord, { readonly route: GatewayRoute | undefined }>()
  return {
    get hasTables () { return version > 0 },
    update () {
      const tables = state.publication?.tables
      if (tables === undefined || tables.version === version) return
      routes = createRouteIndex(tables)
      version = tables.version
      routesByJob = new WeakMap()
    },
    find (record) {
      const known = routesByJob.get(record)
      if (known !== undefined) return known.route
      const matching = matchRoute(routes, record.submission.host, record.submission.pathPrefix)
      const route = matching?.kind === RouteKind.Batch ? matching : undefined
      routesByJob.set(record, { route })
      return route
    }
  }
}
