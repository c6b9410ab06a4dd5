/**
 * The procedures that a host offers to other hosts, by tRPC.
 * @module
 */
import { initTRPC } from '@trpc/server'
import { err } from 'neverthrow'
import { z } from 'zod'
import type { Command } from '../process/commands.ts'
import type { ControlHost } from '../process/controlHost.ts'
import { createFailure, FailureReason, Step } from '../process/failure.ts'
import type { Query } from '../process/queries.ts'
import type { AppendRequest, JoinRequest, SnapshotRequest, VoteRequest } from '../process/replicaMessages.ts'
import type { Member } from '../process/storage.ts'
import type { WatchRequest } from '../process/watchMessages.ts'
import { toReply } from './internalMessages.ts'
import type { DispatchNews, DispatchReceiver } from './dispatchPeer.ts'
import type { Share, ShareReceiver } from './share.ts'

/** What a host offers; undefined where its role has none. */
export interface InternalServices {
  controlHost: ControlHost | undefined
  shareReceiver: ShareReceiver | undefined
  dispatchReceiver: DispatchReceiver | undefined
}

const { router, procedure } = initTRPC.create()

function message<Type> (): z.ZodType<Type, Type> {
  return z.custom<Type>(value => typeof value === 'object' && value !== null)
}

/**
 * Creates the router.
 * @param services - what the host offers; may be filled in later
 * @returns the router
 */
export function createInternalRouter (services: InternalServices) {
  function missing (step: Step) {
    return toReply<never>(err(createFailure(FailureReason.NotFound, { step }, 'this host does not have that role or is still starting')))
  }

  return router({
    replica: router({
      vote: procedure.input(message<VoteRequest>()).mutation(async ({ input }) => {
        const replica = services.controlHost?.replica
        return replica === undefined ? missing(Step.Vote) : toReply(await replica.handleVote(input))
      }),
      append: procedure.input(message<AppendRequest>()).mutation(async ({ input }) => {
        const replica = services.controlHost?.replica
        return replica === undefined ? missing(Step.Append) : toReply(await replica.handleAppend(input))
      }),
      snapshot: procedure.input(message<SnapshotRequest>()).mutation(async ({ input }) => {
        const replica = services.controlHost?.replica
        return replica === undefined ? missing(Step.Snapshot) : toReply(await replica.handleSnapshot(input))
      }),
      join: procedure.input(message<JoinRequest>()).mutation(({ input }) => {
        const replica = services.controlHost?.replica
        return replica === undefined ? missing(Step.Form) : toReply(replica.handleJoin(input))
      }),
      identify: procedure.mutation(() => services.controlHost?.replica.identify()),
      form: procedure.input(message<readonly Member[]>()).mutation(async ({ input }) =>
        await services.controlHost?.replica.form(input) ?? false)
    }),
    control: router({
      execute: procedure.input(message<Command>()).mutation(async ({ input }) =>
        services.controlHost === undefined ? missing(Step.Execute) : toReply(await services.controlHost.execute(input))),
      read: procedure.input(message<Query>()).mutation(async ({ input }) =>
        services.controlHost === undefined ? missing(Step.Read) : toReply(await services.controlHost.read(input))),
      watch: procedure.input(message<WatchRequest>()).mutation(async ({ input }) =>
        services.controlHost === undefined ? missing(Step.Watch) : toReply(await services.controlHost.watch(input)))
    }),
    entry: router({
      share: procedure.input(message<Share>()).mutation(({ input }) => services.shareReceiver?.receive(input) ?? false),
      dispatch: procedure.input(message<DispatchNews>()).mutation(({ input }) => services.dispatchReceiver?.receive(input) ?? false)
    })
  })
}

/** Type of the router, for clients. */
export type InternalRouter = ReturnType<typeof createInternalRouter>
