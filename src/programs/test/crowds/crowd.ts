/**
 * Clients that don't behave: raw connections that send what no ordinary client sends, and stay open.
 */
import * as net from 'node:net';

/** What one connection of a crowd sends. */
export interface Sending {
  readonly head: string;
  /** Sent `times` times after the head. */
  readonly unit: string | Buffer;
  readonly times: number;
}

/** A crowd of connections to one port. */
export interface Crowd {
  readonly connections: number;
  readonly sending: (index: number) => Sending;
  /** Whether its connections read what they are sent. */
  readonly isReading: boolean;
  /** Whether a connection is closed as soon as it has sent everything. */
  readonly isLeaving?: boolean;
}

/** A crowd that has sent what its connections take. */
export interface ConnectedCrowd {
  /** What each connection has read. */
  readonly answers: () => readonly string[];
  readonly dispose: () => void;
}

const BATCH_BYTES = 65_536;

/** A connection that takes nothing more for this long counts as done: the other side doesn't read on. */
const STALLED_MS = 1500;

/** Connections that are opened before the next turn of the event loop. */
const OPENED_AT_ONCE = 20;

const MAX_KEPT_ANSWER = 100_000;

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Resolves once the socket takes more, is closed, or has been stalled for a while. */
const whenWritable = (socket: net.Socket): Promise<boolean> =>
  new Promise((resolve) => {
    const settle = (isWritable: boolean): void => {
      clearTimeout(timer);
      socket.off('drain', onDrain);
      socket.off('close', onClose);
      resolve(isWritable);
    };
    const onDrain = (): void => settle(true);
    const onClose = (): void => settle(false);
    const timer = setTimeout(() => settle(false), STALLED_MS);
    socket.once('drain', onDrain);
    socket.once('close', onClose);
  });

const sendAll = async (socket: net.Socket, { head, unit, times }: Sending): Promise<void> => {
  socket.write(head);
  const one = Buffer.from(unit);
  const perBatch = Math.max(1, Math.floor(BATCH_BYTES / Math.max(1, one.length)));
  const batch = Buffer.concat(Array.from({ length: Math.min(perBatch, times) }, () => one));
  for (let left = times; left > 0 && socket.writable; left -= perBatch) {
    const piece = left >= perBatch ? batch : batch.subarray(0, left * one.length);
    if (!socket.write(piece) && !(await whenWritable(socket))) return;
  }
};

/**
 * @param port - port of the process on the loopback address
 * @param crowd - what its connections do
 * @returns the crowd, once each connection has sent everything, has stalled or was closed
 */
export const connectCrowd = async (port: number, crowd: Crowd): Promise<ConnectedCrowd> => {
  const sockets: net.Socket[] = [];
  const answers: string[] = [];
  const sent: Promise<void>[] = [];
  for (let index = 0; index < crowd.connections; index += 1) {
    const socket = net.connect(port, '127.0.0.1');
    sockets.push(socket);
    answers.push('');
    // Being refused or closed is an allowed answer to such a client.
    socket.on('error', () => undefined);
    if (crowd.isReading) {
      socket.on('data', (piece: Buffer) => {
        const kept = answers[index] ?? '';
        if (kept.length < MAX_KEPT_ANSWER) answers[index] = kept + piece.toString('latin1');
      });
    }
    const finished = sendAll(socket, crowd.sending(index));
    sent.push(
      crowd.isLeaving === true
        ? finished.then(() => {
            socket.end();
          })
        : finished,
    );
    if (index % OPENED_AT_ONCE === OPENED_AT_ONCE - 1) await sleep(1);
  }
  await Promise.all(sent);
  return { answers: () => answers, dispose: () => sockets.forEach((it) => it.destroy()) };
};
