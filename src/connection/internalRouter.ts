/**
 * The tRPC router with the procedures that a host offers to other hosts.
 * @module
 */
import { initTRPC } from '@trpc/server'
import { err, ok } from 'neverthrow'
import * as z from 'zod'
import type { AllotmentRequest } from '../process/accounts/accountUse.ts'
import type { Command } from '../process/state/commands.ts'
import type { ControlHost } from '../process/state/controlHost.ts'
import type { FleetLeader } from '../process/fleet/fleetLeader.ts'
import type { BatchRunner } from '../process/fleet/batchRunner.ts'
import type { FleetWatchRequest, LimitReport, LoadReport, PermitRequest, ServerCrashReport, TablesRequest, TrialRequest, Withdrawal } from '../process/fleet/fleetMessages.ts'
import type { TablesSource } from '../process/fleet/tablesSource.ts'
import { maxStreamIdLength, OriginLookupKind, type StreamRecord, type StreamRecordStore } from '../process/fleet/streamRecords.ts'
import type { RunPoll, RunReports } from '../process/fleet/runMessages.ts'
import type { Heartbeat } from '../process/fleet/backendServerRegistry.ts'
import { createFailure, FailureReason, Step } from '../process/program/failure.ts'
import type { Query } from '../process/state/queries.ts'
import type { AppendRequest, HeartbeatRequest, JoinRequest, SnapshotRequest, VoteRequest } from '../process/log/replicaMessages.ts'
import type { Entry, Member } from '../process/log/storage.ts'
import type { WatchRequest } from '../process/state/watchMessages.ts'
import { decodeEntries, type EncodedEntry } from './entryCodec.ts'
import { toDeferredReply, toReply } from './reply.ts'
import type { DispatchUpdate, DispatchReceiver } from './dispatchUpdate.ts'
import type { Share, ShareReceiver } from './share.ts'

/** An append request on the wire. */
type EncodedAppendRequest = Omit<AppendRequest, 'entries'> & { readonly entries: ReadonlyArray<EncodedEntry | Entry> }

/** Services behind the procedures; undefined when the host does not have the role, or is still starting. */
export interface InternalServices {
  controlHost: ControlHost | undefined
  shareReceiver: ShareReceiver | undefined
  dispatchReceiver: DispatchReceiver | undefined
  fleetLeader?: FleetLeader | undefined
  tablesSource?: TablesSource | undefined
  batchRunner?: BatchRunner | undefined
  streamRecords?: StreamRecordStore | undefined
}

/** Answer of a host to which records were sent. */
export interface RecordedStreams {
  /** Number of records that the host has stored. */
  readonly count: number
  /** Random id of the store, which changes when the host restarts; hosts of earlier versions of the program send none. */
  readonly start?: string | undefined
}

/** What a host knows of the streams that it was asked for. */
export interface FoundStreams {
  readonly records: readonly StreamRecord[]
  /** Ids of streams with records of several origins. */
  readonly conflicting: readonly string[]
}

// The identity transformer: the connection preserves values, so the inferred types must not assume a conversion to JSON.
const transformer = { serialize: (value: unknown) => value, deserialize: (value: unknown) => value }
const { router, procedure } = initTRPC.create({ transformer })

/** Maximum length of the name of a service and of a software version, in characters. */
const maxNameLength = 256

const streamId = z.string().min(1).max(maxStreamIdLength)
const name = z.string().max(maxNameLength)
const streamRecordsSchema = z.object({ records: z.array(z.object({ id: streamId, service: name, softwareVersion: name })) })
const streamIdsSchema = z.object({ ids: z.array(streamId) })

function objectSchema<Type> (): z.ZodType<Type, Type> {
  return z.custom<Type>(value => typeof value === 'object' && value !== null)
}

/**
 * Creates the router.
 * @param services - the services of the host; its fields may be set later
 * @returns the router
 */
export function createInternalRouter (services: InternalServices) {
  function createMissingRoleReply (step: Step) {
    return toReply<never>(err(createFailure(FailureReason.NotFound, { step }, 'this host does not have that role or is still starting')))
  }

  return router({
    replica: router({
      vote: procedure.input(objectSchema<VoteRequest>()).mutation(async ({ input }) => {
        const replica = services.controlHost?.replica
        return replica === undefined ? createMissingRoleReply(Step.Vote) : toReply(await replica.handleVote(input))
      }),
      append: procedure.input(objectSchema<EncodedAppendRequest>()).mutation(async ({ input }) => {
        const replica = services.controlHost?.replica
        if (replica === undefined) return createMissingRoleReply(Step.Append)
        return toReply(await replica.handleAppend({ ...input, entries: await decodeEntries(input.entries) }))
      }),
      heartbeat: procedure.input(objectSchema<HeartbeatRequest>()).mutation(async ({ input }) => {
        const replica = services.controlHost?.replica
        return replica === undefined ? createMissingRoleReply(Step.Append) : toReply(await replica.handleHeartbeat(input))
      }),
      readIndex: procedure.mutation(async () => {
        const replica = services.controlHost?.replica
        return replica === undefined ? createMissingRoleReply(Step.ConfirmRead) : toReply(await replica.confirmRead())
      }),
      snapshot: procedure.input(objectSchema<SnapshotRequest>()).mutation(async ({ input }) => {
        const replica = services.controlHost?.replica
        return replica === undefined ? createMissingRoleReply(Step.Snapshot) : toReply(await replica.handleSnapshot(input))
      }),
      join: procedure.input(objectSchema<JoinRequest>()).mutation(({ input }) => {
        const replica = services.controlHost?.replica
        return replica === undefined ? createMissingRoleReply(Step.Bootstrap) : toReply(replica.handleJoin(input))
      }),
      identify: procedure.mutation(() => services.controlHost?.replica.identify()),
      form: procedure.input(objectSchema<readonly Member[]>()).mutation(async ({ input }) =>
        await services.controlHost?.replica.form(input) ?? false)
    }),
    control: router({
      execute: procedure.input(objectSchema<Command>()).mutation(async ({ input }) =>
        services.controlHost === undefined ? createMissingRoleReply(Step.Execute) : toReply(await services.controlHost.execute(input))),
      read: procedure.input(objectSchema<Query>()).mutation(async ({ input }) =>
        services.controlHost === undefined ? createMissingRoleReply(Step.Read) : toDeferredReply(await services.controlHost.prepareRead(input))),
      watch: procedure.input(objectSchema<WatchRequest>()).mutation(async ({ input }) =>
        services.controlHost === undefined ? createMissingRoleReply(Step.Watch) : toReply(await services.controlHost.watch(input)))
    }),
    fleet: router({
      watch: procedure.input(objectSchema<FleetWatchRequest>()).mutation(async ({ input }) =>
        services.fleetLeader === undefined ? createMissingRoleReply(Step.Watch) : toReply(await services.fleetLeader.watch(input))),
      tables: procedure.input(objectSchema<TablesRequest>()).mutation(async ({ input }) =>
        services.tablesSource === undefined ? createMissingRoleReply(Step.FetchTables) : toReply(await services.tablesSource.fetch(input))),
      confirmTables: procedure.input(objectSchema<{ readonly version: number, readonly waitMs: number }>()).mutation(async ({ input }) =>
        services.fleetLeader === undefined ? createMissingRoleReply(Step.Publish) : toReply(await services.fleetLeader.confirmTables(input.version, input.waitMs))),
      report: procedure.input(objectSchema<LoadReport>()).mutation(({ input }) =>
        services.fleetLeader === undefined ? createMissingRoleReply(Step.Report) : toReply(services.fleetLeader.report(input))),
      reportCrash: procedure.input(objectSchema<ServerCrashReport>()).mutation(async ({ input }) =>
        services.fleetLeader === undefined ? createMissingRoleReply(Step.Report) : toReply(await services.fleetLeader.reportCrash(input))),
      acquireTrial: procedure.input(objectSchema<TrialRequest>()).mutation(({ input }) =>
        services.fleetLeader === undefined ? createMissingRoleReply(Step.Report) : toReply(services.fleetLeader.acquireTrial(input))),
      reportLimits: procedure.input(objectSchema<LimitReport>()).mutation(({ input }) =>
        services.fleetLeader === undefined ? createMissingRoleReply(Step.Report) : toReply(services.fleetLeader.reportLimits(input))),
      acquirePermit: procedure.input(objectSchema<PermitRequest>()).mutation(({ input }) =>
        services.fleetLeader === undefined ? createMissingRoleReply(Step.Report) : toReply(services.fleetLeader.acquirePermit(input))),
      acquireAllotment: procedure.input(objectSchema<AllotmentRequest>()).mutation(({ input }) =>
        services.fleetLeader === undefined ? createMissingRoleReply(Step.Report) : toReply(services.fleetLeader.acquireAllotment(input))),
      pollRuns: procedure.input(objectSchema<RunPoll>()).mutation(async ({ input }) =>
        services.batchRunner === undefined ? createMissingRoleReply(Step.Dispatch) : toReply(await services.batchRunner.poll(input))),
      reportRuns: procedure.input(objectSchema<RunReports>()).mutation(async ({ input }) =>
        services.batchRunner === undefined ? createMissingRoleReply(Step.Report) : toReply(await services.batchRunner.report(input))),
      heartbeat: procedure.input(objectSchema<Heartbeat>()).mutation(async ({ input }) =>
        services.fleetLeader === undefined ? createMissingRoleReply(Step.Heartbeat) : toReply(await services.fleetLeader.receiveHeartbeat(input))),
      withdraw: procedure.input(objectSchema<Withdrawal>()).mutation(async ({ input }) =>
        services.fleetLeader === undefined ? createMissingRoleReply(Step.Heartbeat) : toReply(await services.fleetLeader.withdraw(input)))
    }),
    streams: router({
      record: procedure.input(streamRecordsSchema).mutation(({ input }) => {
        if (services.streamRecords === undefined) return createMissingRoleReply(Step.RecordStreams)
        for (const record of input.records) services.streamRecords.record(record)
        return toReply(ok<RecordedStreams>({ count: input.records.length, start: services.streamRecords.start }))
      }),
      find: procedure.input(streamIdsSchema).mutation(({ input }) =>
        services.streamRecords === undefined ? createMissingRoleReply(Step.FindStreams) : toReply(ok(findStreams(input.ids, services.streamRecords))))
    }),
    entry: router({
      share: procedure.input(objectSchema<Share>()).mutation(({ input }) => services.shareReceiver?.receive(input) ?? false),
      dispatch: procedure.input(objectSchema<DispatchUpdate>()).mutation(({ input }) => services.dispatchReceiver?.receive(input) ?? false)
    })
  })
}

function findStreams (ids: readonly string[], store: StreamRecordStore): FoundStreams {
  const records: StreamRecord[] = []
  const conflicting: string[] = []
  for (const id of ids) {
    const lookup = store.find(id)
    if (lookup.kind === OriginLookupKind.Known) records.push({ id, ...lookup.origin })
    if (lookup.kind === OriginLookupKind.Conflicting) conflicting.push(id)
  }
  return { records, conflicting }
}

/** Type of the router, for clients. */
export type InternalRouter = ReturnType<typeof createInternalRouter>
