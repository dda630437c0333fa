/**
 * Small crowds of clients that don't behave, beside the faults of a soak. They are no callers: nothing is promised to
 * them, and what the others get is judged as always.
 */
import * as net from 'node:net';

import type * as clock from '../base/common/clock.js';
import * as random from '../base/common/random.js';
import * as waitWhile from './waitWhile.js';

/** What the crowds need. */
export interface HostileClientOptions {
  readonly clock: clock.Clock;
  readonly random: random.Random;
  /** Ports of entries for clients. */
  readonly ports: readonly number[];
  readonly isLoadRunning: () => boolean;
}

interface Sending {
  readonly head: string;
  readonly unit: string;
  readonly times: number;
}

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const HEAD = 'POST /none/0000000000000001 HTTP/1.1\r\nHost: h\r\n';

/** What the connections of a crowd send before they say nothing more. */
const SENDINGS: readonly Sending[] = [
  { head: HEAD + CHUNKED, unit: '1\r\nx\r\n', times: 5000 },
  { head: HEAD + CHUNKED, unit: `2710\r\n${'x'.repeat(10_000)}\r\n`, times: 30 },
  { head: `${HEAD}Content-Length: 1000000000\r\n\r\n`, unit: 'x'.repeat(10_000), times: 30 },
  { head: `${HEAD}Content-Length: 1000\r\n\r\n`, unit: 'x', times: 990 },
  { head: '', unit: 'GET /none HTTP/1.1\r\nHost: h\r\n\r\n', times: 2000 },
  { head: '', unit: 'GET / HTTP/1.1\r\n\r\n', times: 2000 },
  { head: HEAD, unit: '', times: 0 },
  { head: '', unit: '', times: 0 },
];

const MAX_CONNECTIONS = 30;
const MAX_STAY_MS = 6000;
const MAX_PAUSE_MS = 2000;

const connect = (port: number, { head, unit, times }: Sending): net.Socket => {
  const socket = net.connect(port, '127.0.0.1');
  // Being refused or closed is an allowed answer to such a client.
  socket.on('error', () => undefined);
  socket.write(head + unit.repeat(times));
  return socket;
};

/**
 * @param options - entries and randomness
 * @returns a promise that resolves once the load is over and the last crowd has left
 */
export const sendCrowds = async (options: HostileClientOptions): Promise<void> => {
  const { clock: time, random: next, ports, isLoadRunning } = options;
  while (isLoadRunning()) {
    const port = random.pick(next, ports);
    const sending = random.pick(next, SENDINGS);
    const count = 1 + random.integerBelow(next, MAX_CONNECTIONS);
    const sockets = Array.from({ length: count }, () => connect(port, sending));
    await waitWhile.waitWhile(time, next() * MAX_STAY_MS, isLoadRunning);
    sockets.forEach((it) => it.destroy());
    await waitWhile.waitWhile(time, next() * MAX_PAUSE_MS, isLoadRunning);
  }
};
