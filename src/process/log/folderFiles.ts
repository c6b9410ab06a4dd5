/**
 * Durable writes to files of a folder: a file is durable once both the file and the folder that contains it are synced.
 * @module
 */
import { type FileHandle, open, readFile, rename } from 'node:fs/promises'
import { join } from 'node:path'

/** Bytes written between syncs of a large file, so that no single sync occupies the disk for long. */
const syncIntervalBytes = 4 * 1024 * 1024

/**
 * Syncs a folder, which makes the creation, renaming and removal of its files durable.
 * @param folder - the folder
 * @throws Error when the folder cannot be synced
 */
export async function syncFolder (folder: string): Promise<void> {
  const handle = await open(folder, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}

/**
 * Writes and syncs a file, but does not sync its folder.
 * @param path - the file, which is overwritten if it exists
 * @param chunks - its content
 * @throws Error when the file cannot be written or synced
 */
export async function writeSynced (path: string, chunks: Iterable<Buffer>): Promise<void> {
  const file = await open(path, 'w')
  try {
    let unsyncedBytes = 0
    for (const chunk of chunks) {
      await file.appendFile(chunk)
      unsyncedBytes += chunk.length
      if (unsyncedBytes < syncIntervalBytes) continue
      await file.datasync()
      unsyncedBytes = 0
    }
    await file.sync()
  } finally {
    await file.close()
  }
}

/**
 * Writes bytes at a position of a file. A single write may take only a part of them, for example when the disk is nearly full.
 * @param file - the file
 * @param bytes - the bytes
 * @param position - offset of the first byte in the file
 * @throws Error when the file cannot be written
 */
export async function writeAll (file: FileHandle, bytes: Buffer, position: number): Promise<void> {
  let written = 0
  while (written < bytes.length) {
    const { bytesWritten } = await file.write(bytes, written, bytes.length - written, position + written)
    written += bytesWritten
  }
}

/**
 * Renames a synced file to its final name and syncs the folder.
 * @param folder - the folder of both names
 * @param from - current name
 * @param to - final name; a file of that name is replaced
 * @throws Error when the file cannot be renamed or the folder cannot be synced
 */
export async function replaceFile (folder: string, from: string, to: string): Promise<void> {
  await rename(join(folder, from), join(folder, to))
  await syncFolder(folder)
}

/**
 * Reads a file that may not exist.
 * @param path - the file
 * @returns its content, or undefined when there is no such file
 * @throws Error when the file exists but cannot be read
 */
export async function readIfPresent (path: string): Promise<Buffer | undefined> {
  try {
    return await readFile(path)
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined
    throw error
  }
}
