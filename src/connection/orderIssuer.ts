/**
 * The task that issues orders to the engines of one pool while this host holds the lease for it.
 * @module
 */
import { Agent, request } from 'undici'
import type { BackendServers } from '../process/routing/backendServers.ts'
import type { Clock } from '../process/program/clock.ts'
import { CommandKind, OutcomeKind } from '../process/state/commands.ts'
import { decideOrders, type LoadOrder, type LoadInProgress, orderTimeoutMs, computeTakeoverDelayMs } from '../process/state/engineOrders.ts'
import { createFailure, type Failure, FailureReason, Step, toFailure } from '../process/program/failure.ts'
import type { Lifecycle } from '../process/program/lifecycle.ts'
import { LogEvents } from '../process/program/logEvents.ts'
import type { Logger } from '../process/program/logger.ts'
import type { CurrentVersion } from '../version/currentVersion.ts'
import { findPool, type Pool } from '../version/tables.ts'
import type { ControlClient } from './controlClient.ts'
import type { Session } from './controlStream.ts'
import type { Announcement } from './share.ts'

/** Delay between two requests for the lease, and timeout of lease commands, in milliseconds. */
const leaseRetryDelayMs = 2_000

/** Maximum interval between two decisions, in milliseconds. */
const maxDecisionIntervalMs = 500

/** HTTP status with which an engine rejects an order with a stale fencing number. */
const staleFencingStatus = 409

/** Dependencies and settings of an order issuer. */
export interface OrderServices {
  readonly holder: string
  readonly control: ControlClient
  readonly session: Session
  readonly version: CurrentVersion
  readonly backendServers: BackendServers
  readonly orders: OrderConnection
  readonly clock: Clock
  readonly logger: Logger
}

/** Connections for orders. */
export interface OrderConnection {
  /**
   * Sends an order.
   * @param order - the order
   * @param fencingNumber - fencing number of the issuer
   * @returns undefined when the engine accepted the order, or the failure
   */
  send (order: LoadOrder, fencingNumber: number): Promise<Failure | undefined>
}

/**
 * Creates the connections for orders; no other requests use them.
 * @param lifecycle - closes them
 * @returns the connections
 */
export function createOrderConnection (lifecycle: Lifecycle): OrderConnection {
  const dispatcher = new Agent({ connect: { timeout: orderTimeoutMs }, pipelining: 1 })
  lifecycle.addCleanup(() => dispatcher.destroy())
  return {
    async send (order, fencingNumber) {
      const origin = { step: Step.Order, peer: order.backendServer }
      try {
        const response = await request(`http://${order.backendServer}/v1/orders`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ order: 'load', model: order.model, number: fencingNumber }),
          signal: AbortSignal.timeout(orderTimeoutMs),
          dispatcher
        })
        await response.body.dump()
        if (response.statusCode === staleFencingStatus) return createFailure(FailureReason.Rejected, origin, `fencing number ${fencingNumber} of the order is stale`)
        if (response.statusCode >= 300) return createFailure(FailureReason.UnexpectedStatus, origin, `the engine responded to the order with status ${response.statusCode}`)
        return undefined
      } catch (error) {
        return toFailure(error, origin)
      }
    }
  }
}

/**
 * Acquires the lease and issues orders until the signal aborts; when the lease ends, it is requested again.
 * @param poolName - name of the pool
 * @param services - dependencies and settings of the task
 * @param signal - ends the task
 * @returns a promise that resolves when the lease has been released
 */
export async function runOrderIssuer (poolName: string, services: OrderServices, signal: AbortSignal): Promise<void> {
  const { control, session, clock, holder, logger } = services
  const leaseName = `engine commands/${poolName}`
  let knownLeaseNumber = 0
  while (!signal.aborted) {
    if (session.isAlive(clock.now())) {
      const { lapses } = session
      const outcome = await control.execute({ kind: CommandKind.AcquireLease, backendServer: leaseName, holder, expected: knownLeaseNumber }, leaseRetryDelayMs)
      if (outcome.isOk() && outcome.value.kind === OutcomeKind.Lease) {
        knownLeaseNumber = outcome.value.number
        if (outcome.value.granted) {
          logger.write(LogEvents.orderIssuerChanged, { detail: poolName, value: knownLeaseNumber })
          await issueUnderLease({ poolName, number: knownLeaseNumber, lapses }, services, signal)
          await control.execute({ kind: CommandKind.ReleaseLease, backendServer: leaseName, holder, number: knownLeaseNumber }, leaseRetryDelayMs)
        }
      }
    }
    await clock.sleep(leaseRetryDelayMs, signal)
  }
}

interface OrderLease {
  readonly poolName: string
  /** The fencing number. */
  readonly number: number
  /** Number of expiries of the session before the lease was requested. */
  readonly lapses: number
}

async function issueUnderLease (lease: OrderLease, services: OrderServices, signal: AbortSignal): Promise<void> {
  const { backendServers, orders, clock, logger } = services
  const { number } = lease
  const initialPool = findHeldPool(lease, services)
  if (initialPool !== undefined) await clock.sleep(computeTakeoverDelayMs(initialPool, listAnnouncements(services), number), signal)
  let pendingLoads: readonly LoadInProgress[] = []
  while (!signal.aborted) {
    const pool = findHeldPool(lease, services)
    if (pool === undefined) return
    const decision = decideOrders({ pool, announcements: listAnnouncements(services), underWay: pendingLoads, now: clock.now() })
    pendingLoads = decision.underWay
    for (const order of decision.orders) {
      // No await may come between this check and the order: once its session has expired, this host is no longer the issuer.
      if (signal.aborted || !isHeld(lease, services)) return
      const failure = await orders.send(order, number)
      // An order without a response may have arrived, so its load counts as in progress until it is announced.
      if (failure?.reason !== FailureReason.Refused) pendingLoads = [...pendingLoads, { ...order, orderedAt: clock.now() }]
      logger.write(failure === undefined ? LogEvents.orderSent : LogEvents.orderFailed, { peer: order.backendServer, detail: order.model, value: number, ...(failure === undefined ? {} : { failure }) })
      if (failure?.reason === FailureReason.Rejected) return
    }
    await backendServers.changed.wait(maxDecisionIntervalMs, signal)
  }
}

// After a freeze a host may have renewed its session before it checks its clock, so expiries are compared too.
function isHeld (lease: OrderLease, { session, clock }: OrderServices): boolean {
  return session.isAlive(clock.now()) && session.lapses === lease.lapses
}

function findHeldPool (lease: OrderLease, services: OrderServices): Pool | undefined {
  return isHeld(lease, services) ? findPool(services.version.configuration, lease.poolName) : undefined
}

function listAnnouncements (services: OrderServices): Announcement[] {
  return services.backendServers.list().map(server => server.announcement)
}
