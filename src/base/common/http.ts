/**
 * One exchange over HTTP as a function, so that whoever speaks HTTP can be given a pool, a fake or
 * a faulty line.
 */

/** Where a server listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** How long bodies may take on the line. */
export interface TransferLimits {
  /** From the first byte of an answer to its last. */
  readonly maxMs: number;
  /** Longest pause between two pieces of an answer. */
  readonly maxPauseMs: number;
  /** Slowest line that a request's body is given time for. */
  readonly minBytesPerS: number;
}

/** A request with its whole body. */
export interface HttpRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** From the first byte sent to the last byte received; with {@link transfer}, to the first one. */
  readonly timeoutMs: number;
  /** Longest time until the answer begins, over all ways that the request may go; unbounded without it. */
  readonly totalMs?: number;
  /** For bodies whose length has no small bound: their time on the line counts apart. */
  readonly transfer?: TransferLimits;
  /** Statuses of answers whose body is of no use; a long one is left unread. */
  readonly unreadStatuses?: readonly number[];
  /** Hears of the answer while it comes: first of its head, without a piece, then of each piece of its body. */
  readonly onArrival?: (status: number, piece?: Uint8Array) => void;
  readonly signal?: AbortSignal;
  /** Uses a connection that no exchange used before, and forgets the idle ones to that address. */
  readonly isFreshConnection?: boolean;
}

/** A whole answer; an answer that is cut short is an error instead. */
export interface HttpReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** How an exchange failed, which decides whether the request may have been seen. */
export const HttpFailure = {
  /** The connection was never made: the other side saw nothing. */
  notSent: 'notSent',
  /** Something was sent and no whole answer came. */
  lost: 'lost',
  /** No whole answer came in time. */
  timeout: 'timeout',
  /** The caller's signal ended the exchange. */
  aborted: 'aborted',
} as const;

/** One of the values of {@link HttpFailure}. */
export type HttpFailure = (typeof HttpFailure)[keyof typeof HttpFailure];

/** Thrown by {@link HttpCall} for an exchange without a whole answer. */
export class HttpCallError extends Error {
  readonly failure: HttpFailure;

  /**
   * @param failure - how the exchange failed
   * @param message - what the platform said
   */
  constructor(failure: HttpFailure, message: string) {
    super(message);
    this.name = 'HttpCallError';
    this.failure = failure;
  }
}

/** Sends one request and gives its whole answer, or throws {@link HttpCallError}. */
export type HttpCall = (request: HttpRequest) => Promise<HttpReply>;

/**
 * @param url - `http://host:port`, the only form that settings and messages use
 * @returns the address
 * @throws TypeError for anything else
 */
export const parseAddress = (url: string): Address => {
  const parsed = /^http:\/\/([A-Za-z0-9.-]+|\[[0-9a-f:]+\]):(\d{1,5})$/.exec(url);
  const [, host, port] = parsed ?? [];
  if (host === undefined || port === undefined) {
    throw new TypeError(`not an http://host:port: ${url}`);
  }
  return { host, port: Number(port) };
};

/**
 * @param address - where a server listens
 * @returns `http://host:port`
 */
export const formatAddress = (address: Address): string => `http://${address.host}:${address.port}`;
