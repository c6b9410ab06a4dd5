/**
 * Frees memory of bytes that are not needed any more.
 * @module
 */
import { MessageChannel } from 'node:worker_threads'

/** Size from which bytes are freed at once; smaller ones are collected often enough. */
const minReleasedBytes = 16 * 1024

const { port1: closedPort } = new MessageChannel()
closedPort.close()

/**
 * Frees the memory of a buffer. The garbage collector lets up to 64 MiB of them accumulate, which is more than a process has to spare.
 * Transferring a buffer to a closed port takes its memory away, and the message is dropped with it.
 * @param bytes - the buffer, which must not be used afterwards; one that shares its memory with others is left to the collector
 */
export function releaseBytes (bytes: Uint8Array): void {
  const { buffer } = bytes
  if (bytes.length < minReleasedBytes || bytes.length !== buffer.byteLength || !(buffer instanceof ArrayBuffer)) return
  closedPort.postMessage(undefined, [buffer])
}
