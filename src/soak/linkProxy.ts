/**
 * A loopback proxy in front of one address, through which a soak injects faults into the link between two
 * processes: delay, reset, refusal, stalled connections, and loss in one direction.
 */
import * as net from 'node:net';

import type * as disposable from '../base/common/disposable.js';

/** What happens to the bytes of a link. */
export const LinkFault = {
  none: 'none',
  /** Every chunk is forwarded after a delay, in order. */
  delay: 'delay',
  /** New connections are reset. */
  refuse: 'refuse',
  /** Bytes are dropped in both directions; neither end is notified. */
  silence: 'silence',
  /** What the caller sends is dropped; responses are forwarded. */
  cutRequests: 'cutRequests',
  /** Requests are forwarded; responses are dropped. */
  cutAnswers: 'cutAnswers',
} as const;

/** One of the values of {@link LinkFault}. */
export type LinkFault = (typeof LinkFault)[keyof typeof LinkFault];

/** A link into which faults can be injected. */
export interface LinkProxy extends disposable.Disposable {
  readonly port: number;
  /** Applies a fault until the next call; connections that lost bytes stay stalled. */
  readonly setFault: (fault: LinkFault) => void;
  /** Resets every open connection. */
  readonly reset: () => void;
  /** Stalls all open connections permanently; new ones work. */
  readonly stallOpen: () => void;
}

/** Longer than the interval between two renewals of a leadership, shorter than any timeout. */
const DELAY_MS = 180;

/** Bandwidth of a low-bandwidth link in each direction, shared by its connections: the lowest of any machine. */
const LOW_BANDWIDTH_BYTES_PER_S = 875_000;

/**
 * Resets a socket. One that is closing can't be reset any more: its handle would stay open and keep the
 * process of the soak alive.
 */
const resetSocket = (socket: net.Socket): void => {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
};

interface Flow {
  readonly from: net.Socket;
  readonly to: net.Socket;
  readonly isRequest: boolean;
}

interface Connection {
  readonly sockets: readonly net.Socket[];
  /** Whether bytes were lost: anything forwarded later would be corrupt. */
  isStalled: boolean;
}

const IS_DROPPED: Readonly<Record<LinkFault, (flow: Flow) => boolean>> = {
  none: () => false,
  delay: () => false,
  refuse: () => false,
  silence: () => true,
  cutRequests: (flow) => flow.isRequest,
  cutAnswers: (flow) => !flow.isRequest,
};

/** Reserves bandwidth and returns the delay in ms until these bytes have passed, after all earlier ones. */
type ReserveBandwidth = (bytes: number) => number;

const createBandwidthLimit = (): ReserveBandwidth => {
  let freeAtMs = 0;
  return (bytes) => {
    const nowMs = performance.now();
    freeAtMs = Math.max(freeAtMs, nowMs) + (bytes * 1000) / LOW_BANDWIDTH_BYTES_PER_S;
    return freeAtMs - nowMs;
  };
};

/**
 * @param targetPort - loopback port that the link leads to
 * @param isLowBandwidth - whether its bandwidth is limited
 * @returns the link, without a fault
 */
export const openLink = async (targetPort: number, isLowBandwidth = false): Promise<LinkProxy> => {
  const connections = new Set<Connection>();
  const reserveForRequests = createBandwidthLimit();
  const reserveForAnswers = createBandwidthLimit();
  let fault: LinkFault = LinkFault.none;

  const forward = (connection: Connection, flow: Flow): void => {
    const { from, to } = flow;
    const forwardUnlessLost = (action: () => void): void => {
      if (IS_DROPPED[fault](flow)) connection.isStalled = true;
      if (connection.isStalled) return;
      const deliver = (): void => {
        if (!connection.isStalled && !to.destroyed) action();
      };
      if (fault === LinkFault.delay) setTimeout(deliver, DELAY_MS);
      else deliver();
    };
    /** Pauses the sender until the chunk has passed, since a link buffers little. */
    const forwardThrottled = (chunk: Buffer): void => {
      from.pause();
      const reserve = flow.isRequest ? reserveForRequests : reserveForAnswers;
      setTimeout(() => {
        if (!to.destroyed && !connection.isStalled) to.write(chunk);
        from.resume();
      }, reserve(chunk.length));
    };
    from.on('data', (chunk: Buffer) =>
      forwardUnlessLost(() => {
        if (isLowBandwidth) forwardThrottled(chunk);
        else to.write(chunk);
      }),
    );
    from.on('end', () => forwardUnlessLost(() => to.end()));
    // A partition also hides the close of a connection; the other end detects it by a timeout.
    from.on('close', () => forwardUnlessLost(() => to.destroySoon()));
    from.on('error', () => forwardUnlessLost(() => resetSocket(to)));
  };

  const server = net.createServer({ allowHalfOpen: true }, (caller) => {
    if (fault === LinkFault.refuse) {
      caller.on('error', () => undefined);
      resetSocket(caller);
      return;
    }
    const target = net.connect({ port: targetPort, host: '127.0.0.1', allowHalfOpen: true });
    const connection = { sockets: [caller, target], isStalled: false };
    connections.add(connection);
    forward(connection, { from: caller, to: target, isRequest: true });
    forward(connection, { from: target, to: caller, isRequest: false });
    const removeIfClosed = (): void => {
      if (caller.destroyed && target.destroyed) connections.delete(connection);
    };
    caller.on('close', removeIfClosed);
    target.on('close', removeIfClosed);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', resolve);
  });

  const reset = (): void => {
    for (const { sockets } of connections) sockets.forEach(resetSocket);
  };
  return {
    port: (server.address() as net.AddressInfo).port,
    setFault: (next) => {
      fault = next;
    },
    reset,
    stallOpen: () => {
      for (const connection of connections) connection.isStalled = true;
    },
    dispose: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        reset();
      }),
  };
};
