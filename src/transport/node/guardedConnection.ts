/**
 * A client's connection as the HTTP parser sees it: a stream that passes on one request at a time.
 *
 * Guards against requests sent ahead: the parser creates objects for each request in the data that it is given, a
 * thousand times in one received piece. What follows a request stays unparsed until its answer has left, and
 * nothing more is read from the socket meanwhile.
 */
import type * as nodeHttp from 'node:http';
import type * as net from 'node:net';
import * as stream from 'node:stream';

import type * as clientLimits from '../../state/common/clientLimits.js';
import * as connectionState from '../common/connectionState.js';

/** What a connection reports and asks of the process's limits. */
export interface ConnectionOptions {
  readonly limits: clientLimits.ClientLimits;
  readonly nowMs: () => number;
  /** Accounts for bytes that the connection holds, or releases them if negative. */
  readonly account: (connection: GuardedConnection, bytes: number) => void;
  readonly recordLimit: (limit: connectionState.LimitName) => void;
  /** Called once, as soon as its descriptor is free. */
  readonly onDidClose: () => void;
}

/** A request that the parser has found. */
export interface ReceivedRequest {
  readonly message: nodeHttp.IncomingMessage;
  readonly response: nodeHttp.ServerResponse;
  readonly handle: () => void;
}

/** A connection under the limits of its process. */
export interface GuardedConnection extends connectionState.ConnectionState {
  /** The stream for the HTTP server. */
  readonly stream: stream.Duplex;
  /** Handles the request now, or once those before it are answered. */
  readonly accept: (request: ReceivedRequest) => void;
  /** Called to break off a body that is being received; undefined if there is none. */
  breakOffBody: ((reason: connectionState.LimitName) => void) | undefined;
  /** Closes the connection at once. */
  readonly destroy: () => void;
}

/** Data of a chunked body that the parser is given at once: its end may lie anywhere in it. */
const CHUNKED_PIECE_BYTES = 256;

/** Data that a client may still send after the last answer before its connection is cut. */
const MAX_DISCARDED_BYTES = 4_194_304;

const MS_PER_S = 1000;
const CR = 13;
const LF = 10;

const isLineEnd = (byte: number | undefined): boolean => byte === CR || byte === LF;

/** Length of the data up to the end of the first head in it; all of it if there is none. */
const headLength = (data: Buffer): number => {
  const ends = ['\n\r\n', '\n\n'].map((end) => {
    const at = data.indexOf(end, 0, 'latin1');
    return at < 0 ? data.length : at + end.length;
  });
  return Math.min(...ends);
};

const startOfRequest = (data: Buffer, offset: number): number => {
  let start = offset;
  while (start < data.length && isLineEnd(data[start])) start += 1;
  return start;
};

const lengthOf = ({ headers }: nodeHttp.IncomingMessage): number =>
  Number(headers['content-length'] ?? 0);

const isChunked = ({ headers }: nodeHttp.IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined;

/** Sends answers and keeps account of what their client has not read. */
const createSender =
  (socket: net.Socket, connection: GuardedConnection, options: ConnectionOptions) =>
  (chunks: readonly Buffer[], done: (error?: Error | null) => void): void => {
    const { limits, nowMs, account } = options;
    const bytes = chunks.reduce((sum, it) => sum + it.length, 0);
    const sendingMs = (bytes * MS_PER_S) / limits.minAnswerBytesPerS;
    connection.unreadSinceMs = nowMs();
    connection.unreadUntilMs = connection.unreadSinceMs + limits.answerTimeoutMs + sendingMs;
    account(connection, bytes);
    socket.cork();
    chunks.slice(0, -1).forEach((chunk) => socket.write(chunk));
    socket.write(chunks.at(-1) ?? Buffer.alloc(0), (error) => {
      connection.unreadUntilMs = undefined;
      account(connection, -bytes);
      done(error);
    });
    socket.uncork();
  };

/** Data that was received and not parsed yet, and data of a head that the parser keeps. */
const createHeldData = (connection: GuardedConnection, options: ConnectionOptions) => {
  let data: Buffer | undefined;
  let headBytes = 0;
  const hold = (bytes: number): void => {
    if (bytes !== 0) options.account(connection, bytes);
  };
  const set = (next: Buffer | undefined): void => {
    const before = data?.length ?? 0;
    data = next;
    hold((next?.length ?? 0) - before);
  };
  const addHead = (bytes: number): void => {
    headBytes += bytes;
    hold(bytes);
  };
  const dropHead = (): void => addHead(-headBytes);
  return { current: () => data, set, addHead, dropHead };
};

/** Limits how fast requests are taken that a client sends ahead of its answers. */
const createAheadPace = ({ limits, nowMs }: ConnectionOptions) => {
  const { maxAheadPerS } = limits;
  let left = maxAheadPerS;
  let refilledMs = nowMs();
  return {
    /** Returns after how long the next one may be taken. */
    takeMs: (): number => {
      const now = nowMs();
      left = Math.min(maxAheadPerS, left + ((now - refilledMs) * maxAheadPerS) / MS_PER_S) - 1;
      refilledMs = now;
      return left >= 0 ? 0 : Math.ceil((-left * MS_PER_S) / maxAheadPerS);
    },
  };
};

/** The requests of a connection: the one that is worked on, and those that a chunked body's last piece contained. */
const createRequestQueue = (
  connection: GuardedConnection,
  options: ConnectionOptions,
  enter: (phase: connectionState.Phase) => void,
  onDidFinish: () => void,
) => {
  let current: ReceivedRequest | undefined;
  let isAnswered = false;
  const ahead: ReceivedRequest[] = [];

  const begin = (request: ReceivedRequest): void => {
    const { message, response } = request;
    current = request;
    isAnswered = false;
    connection.bodyTimeoutMs = options.limits.bodyTimeoutMs;
    const hasBody = isChunked(message) || lengthOf(message) > 0;
    enter(
      hasBody && !message.complete ? connectionState.Phase.body : connectionState.Phase.handling,
    );
    response.once('close', () => {
      isAnswered = true;
      finish();
    });
    request.handle();
  };

  /** Goes on to the next request once this one is answered and its body is over. */
  const finish = (): void => {
    if (current === undefined || !isAnswered) return;
    if (!current.message.complete && !connection.stream.destroyed) return;
    current = undefined;
    if (connection.phase === connectionState.Phase.closing) return;
    enter(connectionState.Phase.idle);
    const next = ahead.shift();
    if (next !== undefined) begin(next);
    onDidFinish();
  };

  return {
    current: () => current?.message,
    accept: (request: ReceivedRequest): void => {
      if (current === undefined) begin(request);
      else ahead.push(request);
    },
    /** To be called after each piece of data that the parser was given. */
    checkBody: (): void => {
      if (current?.message.complete !== true) return;
      if (connection.phase === connectionState.Phase.body) enter(connectionState.Phase.handling);
      finish();
    },
    drop: () => {
      ahead.length = 0;
    },
  };
};

/**
 * @param socket - an accepted connection
 * @param options - limits and accounting
 * @returns the connection under its limits
 */
export const guardConnection = (
  socket: net.Socket,
  options: ConnectionOptions,
): GuardedConnection => {
  let bodyLeft = 0;
  let discardedBytes = 0;
  let isFeeding = false;
  /** Whether the parser's data ends where a request does; after a chunked body it may hold part of the next head. */
  let isAtRequestEnd = true;

  const enter = (phase: connectionState.Phase): void => {
    connection.phase = phase;
    connection.sinceMs = options.nowMs();
  };

  const drop = (): void => {
    held.set(undefined);
    held.dropHead();
    requests.drop();
  };

  const duplex = new stream.Duplex({
    // Data is pushed as it arrives, and again when the parser resumes.
    read: () => undefined,
    write: (chunk: Buffer, _encoding, done) => send([chunk], done),
    writev: (chunks, done) =>
      send(
        chunks.map((it) => it.chunk as Buffer),
        done,
      ),
    // Closing a connection with unread data resets it, and the client loses the last answer: what still
    // arrives is discarded until the client closes.
    final: (done) => {
      enter(connectionState.Phase.closing);
      drop();
      controlReading();
      socket.end(done);
    },
    destroy: (error, done) => {
      drop();
      socket.destroy();
      options.onDidClose();
      done(error);
    },
  });

  const connection: GuardedConnection = {
    stream: duplex,
    phase: connectionState.Phase.idle,
    sinceMs: options.nowMs(),
    bodyTimeoutMs: options.limits.bodyTimeoutMs,
    unreadUntilMs: undefined,
    unreadSinceMs: 0,
    heldBytes: 0,
    breakOffBody: undefined,
    accept: (request) => {
      held.dropHead();
      bodyLeft = lengthOf(request.message);
      requests.accept(request);
    },
    destroy: () => {
      duplex.destroy();
    },
  };
  const send = createSender(socket, connection, options);
  const held = createHeldData(connection, options);
  const pace = createAheadPace(options);
  /** What was sent ahead waits its turn behind the other connections, or until the connection may go on. */
  const feedLater = (): void => {
    if (held.current() === undefined) return;
    const delayMs = pace.takeMs();
    if (delayMs === 0) {
      setImmediate(feed);
      return;
    }
    options.recordLimit(connectionState.LimitName.aheadRate);
    setTimeout(feed, delayMs);
  };
  const requests = createRequestQueue(connection, options, enter, feedLater);

  const isParserReady = (): boolean =>
    duplex.readableFlowing === true && duplex.readableLength === 0 && !duplex.destroyed;

  /** Length of the next piece for the parser; 0 if it gets nothing now. */
  const pieceLength = (data: Buffer): number => {
    const message = requests.current();
    if (message === undefined) return headLength(data);
    if (message.complete) return 0;
    return Math.min(data.length, isChunked(message) ? CHUNKED_PIECE_BYTES : bodyLeft);
  };

  const feedPiece = (data: Buffer): number => {
    const length = pieceLength(data);
    if (length === 0) return 0;
    const message = requests.current();
    if (message === undefined) held.addHead(length);
    else bodyLeft -= length;
    duplex.push(data.subarray(0, length));
    if (message !== undefined && isChunked(message)) isAtRequestEnd = false;
    if (message === undefined && requests.current() !== undefined) isAtRequestEnd = true;
    requests.checkBody();
    return length;
  };

  const feedAll = (data: Buffer): number => {
    let offset = 0;
    while (offset < data.length && isParserReady() && held.current() === data) {
      if (connection.phase === connectionState.Phase.idle) {
        if (isAtRequestEnd) offset = startOfRequest(data, offset);
        if (offset === data.length) return offset;
        enter(connectionState.Phase.head);
      }
      const length = feedPiece(data.subarray(offset));
      if (length === 0) return offset;
      offset += length;
    }
    return offset;
  };

  const feed = (): void => {
    const data = held.current();
    if (isFeeding || data === undefined) return;
    isFeeding = true;
    const offset = feedAll(data);
    isFeeding = false;
    if (held.current() === data && offset > 0) {
      // A short rest would hold all of the received data if it weren't copied.
      held.set(offset === data.length ? undefined : Buffer.from(data.subarray(offset)));
    }
    controlReading();
  };

  const controlReading = (): void => {
    if (socket.destroyed) return;
    if (held.current() !== undefined) socket.pause();
    else if (socket.isPaused()) socket.resume();
  };

  const receive = (data: Buffer): void => {
    if (connection.phase !== connectionState.Phase.closing) {
      const before = held.current();
      held.set(before === undefined ? data : Buffer.concat([before, data]));
      feed();
      return;
    }
    discardedBytes += data.length;
    if (discardedBytes > MAX_DISCARDED_BYTES) duplex.destroy();
  };

  duplex.on('resume', () => feed());
  socket.on('data', receive);
  socket.once('end', () => {
    held.set(undefined);
    duplex.push(null);
  });
  // The cause doesn't matter to a request: its response reports that the connection has closed.
  socket.on('error', () => duplex.destroy());
  socket.once('close', () => duplex.destroy());
  return connection;
};
