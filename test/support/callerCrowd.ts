/**
 * Many connections of callers that send what they like and, most of them, never finish.
 * @module
 */
import { connect, type Socket } from 'node:net'
import { eventually } from '../../scripts/processes.ts'

/** Bytes that are passed to the kernel at once, unless a crowd sends smaller pieces. */
const defaultPieceBytes = 64 * 1024

/** A crowd has settled when the kernel has taken none of its bytes for this time, in milliseconds. */
const settledMs = 1_000

/** Longest time until a crowd has settled, in milliseconds. */
const settleTimeoutMs = 40_000

/** What each connection of a crowd sends. */
export interface CrowdPlan {
  readonly connections: number
  /** Head of the request, or its start. */
  readonly head: string
  /** Block that is sent again and again after the head. */
  readonly block: Buffer
  /** Bytes of repeated blocks to send after the head. */
  readonly bytes: number
  /** Size of the writes, in bytes. */
  readonly pieceBytes?: number
  /** Time between two writes, in milliseconds; none by default. */
  readonly pauseMs?: number
  /** Whether the connections read what is sent to them. */
  readonly isReading: boolean
}

/** Open connections. */
export interface Crowd {
  /** Status codes that the connections read. */
  readonly statuses: readonly number[]
  /** Waits until each connection has sent all, is closed, or isn't read by the other side. */
  settle (): Promise<void>
  close (): void
}

/**
 * Opens the connections of a crowd.
 * @param address - where they connect to
 * @param plan - what they send
 * @returns the crowd
 */
export function openCrowd (address: string, plan: CrowdPlan): Crowd {
  const [ip, port] = address.split(':')
  const sockets: Socket[] = []
  const statuses: number[] = []
  let movedAt = performance.now()

  async function run (socket: Socket): Promise<void> {
    const pieceBytes = plan.pieceBytes ?? defaultPieceBytes
    const blocks = Buffer.concat(Array.from({ length: Math.ceil(pieceBytes / plan.block.length) + 1 }, () => plan.block))
    if (!await send(socket, Buffer.from(plan.head))) return
    for (let sent = 0; sent < plan.bytes;) {
      const start = sent % plan.block.length
      const piece = blocks.subarray(start, start + Math.min(pieceBytes, plan.bytes - sent))
      if (!await send(socket, piece)) return
      sent += piece.length
      if (plan.pauseMs !== undefined) await new Promise(resolve => setTimeout(resolve, plan.pauseMs))
    }
  }

  function send (socket: Socket, bytes: Buffer): Promise<boolean> {
    if (socket.destroyed || bytes.length === 0) return Promise.resolve(!socket.destroyed)
    return new Promise(resolve => {
      const closed = (): void => resolve(false)
      socket.once('close', closed)
      socket.write(bytes, error => {
        socket.off('close', closed)
        movedAt = performance.now()
        resolve(error === undefined || error === null)
      })
    })
  }

  while (sockets.length < plan.connections) {
    const socket = connect({ host: ip ?? '', port: Number(port), noDelay: true })
    sockets.push(socket)
    // A connection that is reset or refused is one of the allowed outcomes.
    socket.on('error', () => {})
    socket.once('close', () => { movedAt = performance.now() })
    if (plan.isReading) {
      socket.once('data', (bytes: Buffer) => { statuses.push(Number(bytes.toString('latin1', 9, 12))) })
      socket.on('data', () => {})
    } else {
      socket.pause()
    }
    socket.once('connect', () => {
      movedAt = performance.now()
      run(socket).catch(() => {})
    })
  }
  return {
    statuses,
    async settle () {
      await eventually('a crowd that has settled', settleTimeoutMs, () => performance.now() - movedAt > settledMs ? true : undefined)
    },
    close () {
      for (const socket of sockets) socket.destroy()
    }
  }
}
