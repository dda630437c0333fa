/**
 * Reserves ports for real programs. Settings files name ports before the programs listen on them, and a free
 * port may meanwhile be taken by a connection or by another test. A listener on the first port of a block
 * reserves the block, and all blocks lie below the ephemeral ports of the machine.
 */
import * as net from 'node:net';

import type * as disposable from '../../base/common/disposable.js';

/** A reserved block of ports for one test or soak run. */
export interface PortBlock extends disposable.Disposable {
  readonly firstPort: number;
}

const LOWEST_PORT = 10_000;
const BLOCKS = 90;
const BLOCK_PORTS = 220;

const tryToListen = (port: number): Promise<net.Server | undefined> =>
  new Promise((resolve) => {
    const listener = net.createServer();
    listener.once('error', () => resolve(undefined));
    listener.listen(port, '127.0.0.1', () => resolve(listener));
  });

/**
 * @param preference - index of the block that is tried first
 * @returns a block that no other test has reserved
 * @throws Error if all blocks are taken
 */
export const reservePorts = async (preference: number): Promise<PortBlock> => {
  for (let offset = 0; offset < BLOCKS; offset += 1) {
    const port = LOWEST_PORT + ((preference + offset) % BLOCKS) * BLOCK_PORTS;
    const listener = await tryToListen(port);
    if (listener !== undefined) {
      return {
        firstPort: port + 1,
        dispose: () =>
          new Promise<void>((resolve) => {
            listener.close(() => resolve());
          }),
      };
    }
  }
  throw new Error(`all ${BLOCKS} blocks of ports are taken`);
};
