import { expect } from 'chai'
import { once } from 'node:events'
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import type { CallMessage } from '../src/connection/callConnection.ts'
import { createControlClient, ReadTarget } from '../src/connection/controlClient.ts'
import { encodeMessage, readMessages, writeFrame } from '../src/connection/frames.ts'
import { compressedInputContext, createInternalClients, type InternalClients, TrafficClass } from '../src/connection/internalClient.ts'
import { ReplyKind } from '../src/connection/reply.ts'
import { createSystemClock } from '../src/process/program/clock.ts'
import { FailureReason, Step } from '../src/process/program/failure.ts'
import { createLifecycle, type Lifecycle } from '../src/process/program/lifecycle.ts'
import { createMetrics } from '../src/process/program/metrics.ts'
import { createSeededRandom } from '../src/process/program/random.ts'
import { eventually } from '../scripts/processes.ts'
import { CommandKind } from '../src/process/state/commands.ts'
import { QueryKind } from '../src/process/state/queries.ts'

/** Number of calls in flight when another one is late. */
const otherCount = 8

/** Timeout of a call that is not to time out, in milliseconds. */
const longTimeoutMs = 20_000

/** Timeout of the call that is late, in milliseconds. */
const shortTimeoutMs = 60

/** A host that responds when the test says so. */
interface TestPeer {
  readonly address: string
  /** Calls received, in order. */
  readonly calls: readonly CallMessage[]
  readonly connections: number
  /** Number of connections that are open. */
  readonly openConnections: number
  /** Procedures that are answered at once. */
  readonly prompt: Set<string>
  /** Responds to all calls received and not answered yet, but the first ones. */
  respond (skipped?: number): void
  /** Stops reading from all connections that are open; the returned function resumes. */
  pause (): () => void
  /** Waits until the host has received a number of calls. */
  receive (count: number): Promise<void>
  close (): void
}

async function startPeer (): Promise<TestPeer> {
  const sockets = new Set<Socket>()
  const unanswered: Array<() => void> = []
  const calls: CallMessage[] = []
  const prompt = new Set<string>()
  let connections = 0
  let notify = (): void => {}
  const server: Server = createServer({ noDelay: true }, socket => {
    connections++
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
    socket.on('error', () => {})
    readMessages(socket, message => {
      const call = message as CallMessage
      calls.push(call)
      const send = (): void => writeFrame(socket, encodeMessage([call[0], { kind: ReplyKind.Value, value: {} }, undefined], Infinity) as Buffer)
      if (prompt.has(call[1])) send()
      else unanswered.push(send)
      notify()
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    calls,
    prompt,
    get connections () { return connections },
    get openConnections () { return sockets.size },
    respond (skipped = 0) {
      for (const send of unanswered.splice(skipped)) send()
    },
    pause () {
      const paused = [...sockets]
      for (const socket of paused) socket.pause()
      return () => {
        for (const socket of paused) socket.resume()
      }
    },
    async receive (count) {
      while (calls.length < count) await new Promise<void>(resolve => { notify = resolve })
    },
    close () {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

describe('a call between hosts that is late', () => {
  let lifecycle: Lifecycle
  let clients: InternalClients
  let peers: TestPeer[]

  beforeEach(async () => {
    lifecycle = createLifecycle()
    clients = createInternalClients(lifecycle)
    peers = [await startPeer(), await startPeer()]
  })

  afterEach(async () => {
    await lifecycle.close()
    for (const peer of peers) peer.close()
  })

  function callPeer (peer: TestPeer, timeoutMs: number) {
    return clients.callReply(peer.address, TrafficClass.Batch, Step.Read, timeoutMs, (client, signal) =>
      client.control.read.mutate({ kind: QueryKind.Publication }, { signal }) as never)
  }

  // Guards against one slow call that ends all other calls on its connection, each of which is then repeated at another host.
  it('ends no other call on its connection', async () => {
    const [host] = peers as [TestPeer]
    const late = callPeer(host, shortTimeoutMs)
    await host.receive(1)
    const others = Array.from({ length: otherCount }, () => callPeer(host, longTimeoutMs))
    await host.receive(1 + otherCount)
    expect((await late)._unsafeUnwrapErr().reason).to.equal(FailureReason.Timeout)
    host.respond()
    const results = await Promise.all(others)
    expect(results.filter(result => result.isErr()).map(result => result._unsafeUnwrapErr().reason)).to.deep.equal([])
  })

  // Guards against calls that go on using a connection that has gone silent, and against connections that are never closed.
  it('is followed by calls on a new connection when nothing has arrived on its own, and the silent one is closed', async () => {
    const [host] = peers as [TestPeer]
    expect((await callPeer(host, shortTimeoutMs)).isErr()).to.equal(true)
    const next = callPeer(host, longTimeoutMs)
    await host.receive(2)
    expect(host.connections).to.equal(2)
    await eventually('the silent connection is closed', longTimeoutMs, () => host.openConnections === 1 ? true : undefined)
    host.respond(1)
    expect((await next).isOk()).to.equal(true)
  })

  // Guards against a new connection for each late call to a host that responds to other calls.
  it('leaves its connection in use when other responses arrive on it', async () => {
    const [host] = peers as [TestPeer]
    const late = callPeer(host, 4 * shortTimeoutMs)
    await host.receive(1)
    const other = callPeer(host, longTimeoutMs)
    await host.receive(2)
    host.respond(1)
    expect((await other).isOk()).to.equal(true)
    expect((await late).isErr()).to.equal(true)
    const next = callPeer(host, longTimeoutMs)
    await host.receive(3)
    host.respond()
    expect((await next).isOk()).to.equal(true)
    expect(host.connections).to.equal(1)
  })

  // Guards against a slow submission by which a host takes its leader for failed, so that its polls go to hosts that do not lead
  // until its session ends.
  it('does not divert other calls from a leader that responds to them', async () => {
    const [leader, follower] = peers as [TestPeer, TestPeer]
    for (const peer of peers) peer.prompt.add('fleet.watch')
    const client = createControlClient({
      controlHosts: [leader.address, follower.address], readTarget: ReadTarget.Nearest, clients, clock: createSystemClock(), random: createSeededRandom(1), metrics: createMetrics(), signal: lifecycle.signal
    })
    const ended = new AbortController()
    const submission = client.execute({ kind: CommandKind.Submit, submission: { id: 'j' } } as never, 2_000).finally(() => ended.abort())
    while (!ended.signal.aborted) {
      expect((await client.watchFleet({} as never)).isOk()).to.equal(true)
      await new Promise(resolve => setTimeout(resolve, 20))
    }
    expect((await submission)._unsafeUnwrapErr().reason).to.equal(FailureReason.Late)
    await client.watchFleet({} as never)
    expect(follower.calls.map(([, procedure]) => procedure)).to.deep.equal([])
    // The connection of the first attempt may have gone silent, so there is a second one, and no further one.
    expect(leader.calls.filter(([, procedure]) => procedure === 'control.execute')).to.have.lengthOf(2)
  })

  // Guards against a submission that waits until its time limit on a connection that has gone silent, while new connections work.
  it('is sent on a new connection when its own has gone silent and the host responds on another one', async () => {
    const [leader] = peers as [TestPeer]
    leader.prompt.add('fleet.watch')
    const client = createControlClient({
      controlHosts: [leader.address], readTarget: ReadTarget.Nearest, clients, clock: createSystemClock(), random: createSeededRandom(1), metrics: createMetrics(), signal: lifecycle.signal
    })
    const ended = new AbortController()
    const submission = client.execute({ kind: CommandKind.Submit, submission: { id: 'j' } } as never, longTimeoutMs).finally(() => ended.abort())
    while (!ended.signal.aborted) {
      await client.watchFleet({} as never)
      const attempts = leader.calls.filter(([, procedure]) => procedure === 'control.execute').length
      // Only the call on the new connection is answered.
      if (attempts > 1) leader.respond(1)
      await new Promise(resolve => setTimeout(resolve, 20))
    }
    expect((await submission).isOk()).to.equal(true)
  })

  // Guards against calls that wait behind those that were given up, on a connection that is too slow to send them.
  it('does not hold up the next call behind messages that are not sent yet', async () => {
    const [host] = peers as [TestPeer]
    host.prompt.add('fleet.watch')
    const input = { host: Buffer.alloc(64 * 1024 * 1024 / 4) }
    const callWith = (value: unknown, timeoutMs: number) => clients.callReply(host.address, TrafficClass.Batch, Step.Watch, timeoutMs, (client, signal) =>
      client.fleet.watch.mutate(value as never, { signal, context: compressedInputContext }) as never)
    expect((await callWith({}, longTimeoutMs)).isOk()).to.equal(true)
    const earlier = callPeer(host, longTimeoutMs)
    await host.receive(2)
    const release = host.pause()
    const late = Array.from({ length: otherCount }, () => callWith(input, 4 * shortTimeoutMs))
    // The connection is not silent.
    host.respond()
    expect((await earlier).isOk()).to.equal(true)
    for (const result of await Promise.all(late)) expect(result.isErr()).to.equal(true)
    release()
    expect((await callWith({}, longTimeoutMs)).isOk()).to.equal(true)
    expect(host.connections).to.equal(2)
  })

  // Guards against large tables that are sent to the end although their host has given them up, and delay those that it asks for next.
  it('does not go on receiving a response that is too large for its time', async () => {
    const received: Socket[] = []
    const server = createServer(socket => {
      received.push(socket)
      readMessages(socket, message => {
        const frame = encodeMessage([(message as CallMessage)[0], { kind: ReplyKind.Value, value: {} }, undefined], Infinity) as Buffer
        // The first response stops in its middle.
        socket.write(received.length === 1 ? frame.subarray(0, frame.length - 1) : frame)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    const host = { address: `127.0.0.1:${(server.address() as AddressInfo).port}` } as unknown as TestPeer
    expect((await callPeer(host, shortTimeoutMs)).isErr()).to.equal(true)
    expect((await callPeer(host, longTimeoutMs)).isOk()).to.equal(true)
    await eventually('the first connection is closed', longTimeoutMs, () => received[0]?.destroyed === true ? true : undefined)
    server.close()
  })

  // Guards against a host that takes its own suspension for the silence of all hosts that it has called.
  it('is none when the response arrived while this process was suspended', async () => {
    const [host] = peers as [TestPeer]
    host.prompt.add('control.read')
    const called = callPeer(host, shortTimeoutMs)
    await host.receive(1)
    await new Promise<void>(resolve => setImmediate(() => {
      const end = performance.now() + 4 * shortTimeoutMs
      while (performance.now() < end);
      resolve()
    }))
    expect((await called).isOk()).to.equal(true)
  })

  // Guards against a job that is sent again with all its items while its leader is busy with it: on a narrow link, that delays everything else.
  it('is not sent a second time when its connection works', async () => {
    const [leader] = peers as [TestPeer]
    for (const procedure of ['fleet.watch', 'replica.identify']) leader.prompt.add(procedure)
    const client = createControlClient({
      controlHosts: [leader.address], readTarget: ReadTarget.Nearest, clients, clock: createSystemClock(), random: createSeededRandom(1), metrics: createMetrics(), signal: lifecycle.signal
    })
    const ended = new AbortController()
    const submission = client.execute({ kind: CommandKind.Submit, submission: { id: 'j' } } as never, 2_500).finally(() => ended.abort())
    while (!ended.signal.aborted) {
      await client.watchFleet({} as never)
      await new Promise(resolve => setTimeout(resolve, 20))
    }
    expect((await submission)._unsafeUnwrapErr().reason).to.equal(FailureReason.Late)
    expect(leader.calls.filter(([, procedure]) => procedure === 'control.execute')).to.have.lengthOf(1)
  })

  // Guards against a new connection for each late call to a busy host, which takes longest to answer the first call on a connection.
  it('leaves its connection in use when the host responds on another one, unless the next call finds it silent too', async () => {
    const [host] = peers as [TestPeer]
    host.prompt.add('fleet.watch')
    const callPolled = async () => {
      const called = callPeer(host, 4 * shortTimeoutMs)
      const polled = await clients.callReply(host.address, TrafficClass.Control, Step.Watch, longTimeoutMs, (client, signal) => client.fleet.watch.mutate({} as never, { signal }) as never)
      expect(polled.isOk()).to.equal(true)
      return await called
    }
    // One connection for the polls, one for the calls.
    for (const connections of [2, 2]) {
      expect((await callPolled())._unsafeUnwrapErr().reason).to.equal(FailureReason.Late)
      expect(host.connections).to.equal(connections)
    }
    const next = callPeer(host, longTimeoutMs)
    await host.receive(5)
    expect(host.calls.map(([, procedure]) => procedure)).not.to.include('replica.identify')
    expect(host.connections).to.equal(3)
    host.respond(2)
    expect((await next).isOk()).to.equal(true)
  })
})
