/**
 * Preloaded into a control host by bench/memory.ts: appends the memory of the process to the file named by MEMORY_PROBE.
 * After SIGUSR2 each accepted connection is read at no more than MEMORY_PROBE_RATE bytes a second.
 */
import { appendFileSync } from 'node:fs'
import { Server } from 'node:net'

const sampleIntervalMs = 250
const millisecondsPerSecond = 1_000

const file = process.env.MEMORY_PROBE
const rate = Number(process.env.MEMORY_PROBE_RATE)
let isLimited = false

setInterval(() => appendFileSync(file, `${JSON.stringify({ at: Date.now(), ...process.memoryUsage() })}\n`), sampleIntervalMs).unref()

function limitRate (socket) {
  socket.on('data', chunk => {
    if (!isLimited) return
    socket.pause()
    setTimeout(() => socket.resume(), chunk.length / rate * millisecondsPerSecond)
  })
}

process.on('SIGUSR2', () => { isLimited = true })
const { emit } = Server.prototype
Server.prototype.emit = function (event, ...values) {
  if (event === 'connection') limitRate(values[0])
  return emit.call(this, event, ...values)
}
