/**
 * The tRPC implementation of the transport between replicas.
 * @module
 */
import { err, ok, type ResultAsync } from 'neverthrow'
import { createFailure, type Failure, FailureReason, Step } from '../process/program/failure.ts'
import {
  type AppendResponse, type AppendRequest, type HeartbeatRequest, type HeartbeatResponse, type Identification, type JoinResponse, type JoinRequest, type SnapshotResponse, type SnapshotRequest,
  Transport, type VoteResponse, type VoteRequest
} from '../process/log/replicaMessages.ts'
import type { Entry, Member } from '../process/log/storage.ts'
import { createEntryEncoder } from './entryCodec.ts'
import { compressedInputContext, type InternalClients, TrafficClass } from './internalClient.ts'

/** Timeout for a call between replicas, in milliseconds, in addition to the time for its data. */
const callTimeoutMs = 1_000

/** Lowest rate at which data counts as arriving, in bytes per millisecond. */
const minTransferRate = 128

class TrpcTransport extends Transport {
  private readonly clients: InternalClients
  private readonly encoder = createEntryEncoder()

  constructor (clients: InternalClients) {
    super()
    this.clients = clients
  }

  override vote (address: string, request: VoteRequest): ResultAsync<VoteResponse, Failure> {
    return this.clients.callReply<VoteResponse>(address, TrafficClass.Control, Step.Vote, callTimeoutMs, (client, signal) =>
      client.replica.vote.mutate(request, { signal }))
  }

  // Compressed, a configuration has a tenth of its size, and a request carries ten of them in one round trip.
  override estimateBytes (entry: Entry): number {
    return this.encoder.findSize(entry) ?? super.estimateBytes(entry)
  }

  override append (address: string, request: AppendRequest): ResultAsync<AppendResponse, Failure> {
    return this.clients.callReply<AppendResponse>(address, TrafficClass.Control, Step.Append, computeTimeoutMs(this.sumBytes(request.entries)), async (client, signal) => {
      const entries = await this.encoder.encode(request.entries)
      return await client.replica.append.mutate({ ...request, entries }, { signal, context: compressedInputContext })
    })
  }

  private sumBytes (entries: readonly Entry[]): number {
    let bytes = 0
    for (const entry of entries) bytes += this.estimateBytes(entry)
    return bytes
  }

  override heartbeat (address: string, request: HeartbeatRequest): ResultAsync<HeartbeatResponse, Failure> {
    return this.clients.callReply<HeartbeatResponse>(address, TrafficClass.Heartbeat, Step.Append, callTimeoutMs, (client, signal) =>
      client.replica.heartbeat.mutate(request, { signal }))
  }

  override readIndex (address: string): ResultAsync<number, Failure> {
    return this.clients.callReply<number>(address, TrafficClass.Heartbeat, Step.ConfirmRead, callTimeoutMs, (client, signal) =>
      client.replica.readIndex.mutate(undefined, { signal }))
  }

  override identify (address: string): ResultAsync<Identification, Failure> {
    return this.clients.call(address, TrafficClass.Control, Step.Bootstrap, callTimeoutMs, (client, signal) =>
      client.replica.identify.mutate(undefined, { signal })).andThen(found => found === undefined
      ? err(createFailure(FailureReason.NotFound, { step: Step.Bootstrap, peer: address }, 'the host has no control replica yet'))
      : ok(found as Identification))
  }

  override form (address: string, members: readonly Member[]): ResultAsync<boolean, Failure> {
    return this.clients.call(address, TrafficClass.Control, Step.Bootstrap, callTimeoutMs, (client, signal) =>
      client.replica.form.mutate(members, { signal }))
  }

  override snapshot (address: string, request: SnapshotRequest): ResultAsync<SnapshotResponse, Failure> {
    return this.clients.callReply<SnapshotResponse>(address, TrafficClass.Control, Step.Snapshot, computeTimeoutMs(request.bytes.length), (client, signal) =>
      client.replica.snapshot.mutate(request, { signal }))
  }

  override join (address: string, request: JoinRequest): ResultAsync<JoinResponse, Failure> {
    return this.clients.callReply<JoinResponse>(address, TrafficClass.Control, Step.Bootstrap, callTimeoutMs, (client, signal) =>
      client.replica.join.mutate(request, { signal }))
  }
}

function computeTimeoutMs (bytes: number): number {
  return callTimeoutMs + bytes / minTransferRate
}

/**
 * Creates the transport.
 * @param clients - clients for calls to other hosts
 * @returns the transport
 */
export function createTrpcTransport (clients: InternalClients): Transport {
  return new TrpcTransport(clients)
}
