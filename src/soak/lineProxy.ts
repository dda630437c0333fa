/**
 * A loopback proxy in front of one address, through which a soak harms the line between two processes
 * from outside of both: delay, reset, refusal, silence of open connections, and cuts one way.
 */
import * as net from 'node:net';

import type * as disposable from '../base/common/disposable.js';

/** What happens to the bytes of a line. */
export const LineFault = {
  none: 'none',
  /** Every piece is passed on late, in order. */
  delay: 'delay',
  /** New connections are reset. */
  refuse: 'refuse',
  /** Nothing passes in either direction, and nobody is told. */
  silence: 'silence',
  /** What the caller sends is lost; answers pass. */
  cutRequests: 'cutRequests',
  /** Requests arrive; what is answered is lost. */
  cutAnswers: 'cutAnswers',
} as const;

/** One of the values of {@link LineFault}. */
export type LineFault = (typeof LineFault)[keyof typeof LineFault];

/** A line that can be harmed. */
export interface LineProxy extends disposable.Disposable {
  readonly port: number;
  /** Holds until the next one is set; connections that lost bytes stay silent for good. */
  readonly setFault: (fault: LineFault) => void;
  /** Resets every open connection. */
  readonly reset: () => void;
  /** Open connections go silent for good, while new ones work. */
  readonly silenceOpen: () => void;
}

/** Longer than a process waits between two renewals of a leadership, shorter than any time-out. */
const DELAY_MS = 180;

/** Of all connections of a narrow line together, each way: the narrowest that a machine of a site has. */
const NARROW_BYTES_PER_S = 875_000;

/**
 * A socket that is closing can't be reset any more: its handle would stay open for good, and with it the
 * process of the soak.
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
  /** Bytes were lost on it: anything that still passed would be garbage. */
  isMute: boolean;
}

const LOST: Readonly<Record<LineFault, (flow: Flow) => boolean>> = {
  none: () => false,
  delay: () => false,
  refuse: () => false,
  silence: () => true,
  cutRequests: (flow) => flow.isRequest,
  cutAnswers: (flow) => !flow.isRequest,
};

/** When the bytes that are sent now have passed a line, behind all that was sent before. */
type Occupy = (bytes: number) => number;

const createLineTime = (): Occupy => {
  let freeAtMs = 0;
  return (bytes) => {
    const nowMs = performance.now();
    freeAtMs = Math.max(freeAtMs, nowMs) + (bytes * 1000) / NARROW_BYTES_PER_S;
    return freeAtMs - nowMs;
  };
};

/**
 * @param targetPort - loopback port that the line leads to
 * @param isNarrow - whether it is narrow while no other fault is on it
 * @returns the line, without a fault
 */
export const openLine = async (targetPort: number, isNarrow = false): Promise<LineProxy> => {
  const connections = new Set<Connection>();
  const occupyRequests = createLineTime();
  const occupyAnswers = createLineTime();
  let fault: LineFault = LineFault.none;

  const carry = (connection: Connection, flow: Flow): void => {
    const { from, to } = flow;
    const pass = (act: () => void): void => {
      if (LOST[fault](flow)) connection.isMute = true;
      if (connection.isMute) return;
      const deliver = (): void => {
        if (!connection.isMute && !to.destroyed) act();
      };
      if (fault === LineFault.delay) setTimeout(deliver, DELAY_MS);
      else deliver();
    };
    /** No more is taken from the sender before this has passed: a line holds little. */
    const passNarrow = (chunk: Buffer): void => {
      from.pause();
      const occupy = flow.isRequest ? occupyRequests : occupyAnswers;
      setTimeout(() => {
        if (!to.destroyed && !connection.isMute) to.write(chunk);
        from.resume();
      }, occupy(chunk.length));
    };
    from.on('data', (chunk: Buffer) =>
      pass(() => {
        if (isNarrow) passNarrow(chunk);
        else to.write(chunk);
      }),
    );
    from.on('end', () => pass(() => to.end()));
    // A partition hides the end of a connection as well; its other side finds out by a time-out.
    from.on('close', () => pass(() => to.destroySoon()));
    from.on('error', () => pass(() => resetSocket(to)));
  };

  const server = net.createServer({ allowHalfOpen: true }, (caller) => {
    if (fault === LineFault.refuse) {
      caller.on('error', () => undefined);
      resetSocket(caller);
      return;
    }
    const target = net.connect({ port: targetPort, host: '127.0.0.1', allowHalfOpen: true });
    const connection = { sockets: [caller, target], isMute: false };
    connections.add(connection);
    carry(connection, { from: caller, to: target, isRequest: true });
    carry(connection, { from: target, to: caller, isRequest: false });
    const forget = (): void => {
      if (caller.destroyed && target.destroyed) connections.delete(connection);
    };
    caller.on('close', forget);
    target.on('close', forget);
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
    silenceOpen: () => {
      for (const connection of connections) connection.isMute = true;
    },
    dispose: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        reset();
      }),
  };
};
