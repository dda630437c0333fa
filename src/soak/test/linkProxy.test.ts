/**
 * The effect of each link fault on a caller.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as linkProxy from '../linkProxy.js';

/** Starts an echo server that records what it receives. */
const listen = async (): Promise<{ port: number; received: string[]; close: () => void }> => {
  const received: string[] = [];
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      received.push(chunk.toString());
      socket.write(chunk);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const close = (): void => {
    sockets.forEach((it) => it.destroy());
    server.close();
  };
  return { port: (server.address() as net.AddressInfo).port, received, close };
};

/** Sends a text and returns the response, `closed`, or `silence` if nothing arrives. */
const sendText = (socket: net.Socket, text: string): Promise<string> =>
  new Promise((resolve) => {
    const timer = setTimeout(() => resolve('silence'), 600);
    const finish = (what: string): void => {
      clearTimeout(timer);
      resolve(what);
    };
    socket.once('data', (chunk) => finish(chunk.toString()));
    socket.once('close', () => finish('closed'));
    socket.on('error', () => undefined);
    socket.write(text);
  });

const CASES: readonly [fault: linkProxy.LinkFault, answer: string, received: readonly string[]][] =
  [
    ['none', 'a', ['a']],
    ['delay', 'a', ['a']],
    ['refuse', 'closed', []],
    ['silence', 'silence', []],
    ['cutRequests', 'silence', []],
    ['cutAnswers', 'silence', ['a']],
  ];

test.describe('a link with a fault', () => {
  for (const [fault, answer, received] of CASES) {
    test.it(`${fault}: the caller observes ${answer}`, async () => {
      const target = await listen();
      const link = await linkProxy.openLink(target.port);
      link.setFault(fault);
      const socket = net.connect({ port: link.port, host: '127.0.0.1' });
      assert.equal(await sendText(socket, 'a'), answer);
      assert.deepEqual(target.received, received);
      socket.destroy();
      await link.dispose();
      target.close();
    });
  }

  test.it('open connections stay stalled, and new ones work', async () => {
    const target = await listen();
    const link = await linkProxy.openLink(target.port);
    const old = net.connect({ port: link.port, host: '127.0.0.1' });
    assert.equal(await sendText(old, 'a'), 'a');
    link.stallOpen();
    assert.equal(await sendText(old, 'b'), 'silence');
    const fresh = net.connect({ port: link.port, host: '127.0.0.1' });
    assert.equal(await sendText(fresh, 'c'), 'c');
    old.destroy();
    fresh.destroy();
    await link.dispose();
    target.close();
  });
});
