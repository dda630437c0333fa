/**
 * What each fault of a line does to a caller on it.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as lineProxy from '../lineProxy.js';

/** An echo that records what arrives. */
const listen = async (): Promise<{ port: number; heard: string[]; close: () => void }> => {
  const heard: string[] = [];
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      heard.push(chunk.toString());
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
  return { port: (server.address() as net.AddressInfo).port, heard, close };
};

/** Says one word and gives what comes of it, or `silence` where nothing does. */
const say = (socket: net.Socket, word: string): Promise<string> =>
  new Promise((resolve) => {
    const timer = setTimeout(() => resolve('silence'), 600);
    const settle = (what: string): void => {
      clearTimeout(timer);
      resolve(what);
    };
    socket.once('data', (chunk) => settle(chunk.toString()));
    socket.once('close', () => settle('closed'));
    socket.on('error', () => undefined);
    socket.write(word);
  });

const CASES: readonly [fault: lineProxy.LineFault, answer: string, heard: readonly string[]][] = [
  ['none', 'a', ['a']],
  ['delay', 'a', ['a']],
  ['refuse', 'closed', []],
  ['silence', 'silence', []],
  ['cutRequests', 'silence', []],
  ['cutAnswers', 'silence', ['a']],
];

test.describe('a line that is harmed', () => {
  for (const [fault, answer, heard] of CASES) {
    test.it(`${fault}: the caller sees ${answer}`, async () => {
      const target = await listen();
      const line = await lineProxy.openLine(target.port);
      line.setFault(fault);
      const socket = net.connect({ port: line.port, host: '127.0.0.1' });
      assert.equal(await say(socket, 'a'), answer);
      assert.deepEqual(target.heard, heard);
      socket.destroy();
      await line.dispose();
      target.close();
    });
  }

  test.it('open connections stay silent for good, and new ones work', async () => {
    const target = await listen();
    const line = await lineProxy.openLine(target.port);
    const old = net.connect({ port: line.port, host: '127.0.0.1' });
    assert.equal(await say(old, 'a'), 'a');
    line.silenceOpen();
    assert.equal(await say(old, 'b'), 'silence');
    const fresh = net.connect({ port: line.port, host: '127.0.0.1' });
    assert.equal(await say(fresh, 'c'), 'c');
    old.destroy();
    fresh.destroy();
    await line.dispose();
    target.close();
  });
});
