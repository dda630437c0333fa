/**
 * A TCP relay on loopback that counts the bytes in both directions, including headers.
 */
import * as net from 'node:net';

import type * as http from '../../base/common/http.js';

/** A running relay and its byte count. */
export interface ByteRelay {
  readonly url: string;
  readonly bytes: () => number;
  readonly dispose: () => void;
}

/**
 * @param target - address that connections are forwarded to
 * @returns the relay, listening
 */
export const startByteRelay = async (target: http.Address): Promise<ByteRelay> => {
  let bytes = 0;
  const sockets = new Set<net.Socket>();
  const server = net.createServer((incoming) => {
    const outgoing = net.connect(target.port, target.host);
    [incoming, outgoing].forEach((it) => {
      sockets.add(it);
      it.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
      });
      it.on('error', () => it.destroy());
    });
    incoming.pipe(outgoing).pipe(incoming);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    bytes: () => bytes,
    dispose: () => {
      server.close();
      sockets.forEach((it) => it.destroy());
    },
  };
};
