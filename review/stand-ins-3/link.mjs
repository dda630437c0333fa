/** A link to one address that can be cut: bytes are dropped in both directions, and neither end is told. */
import * as net from 'node:net';

export const openLink = (listen, target) =>
  new Promise((resolve, reject) => {
    let isCut = false;
    const sockets = new Set();
    const server = net.createServer((caller) => {
      const callee = net.connect(target);
      let isLost = false;
      const pass = (from, to) => {
        sockets.add(from);
        from.on('data', (chunk) => {
          isLost ||= isCut;
          if (!isLost) to.write(chunk);
        });
        from.on('error', () => undefined);
        from.on('close', () => {
          sockets.delete(from);
          if (!isLost && !isCut) to.destroy();
        });
      };
      pass(caller, callee);
      pass(callee, caller);
    });
    server.once('error', reject);
    server.listen(listen, () =>
      resolve({
        setCut: (next) => {
          isCut = next;
        },
        close: () => {
          sockets.forEach((it) => it.destroy());
          server.close();
        },
      }),
    );
  });
