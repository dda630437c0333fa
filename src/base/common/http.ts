/**
 * An HTTP exchange as a function, so that clients can be given a connection pool, a fake or a connection
 * with injected faults.
 */

/** Address of a server. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Limits of the transfer times of bodies. */
export interface TransferLimits {
  /** Maximum time from the first byte of a response to the last. */
  readonly maxMs: number;
  /** Maximum pause between two chunks of a response. */
  readonly maxPauseMs: number;
  /** Minimum throughput that the time limit of a request's body allows for. */
  readonly minBytesPerS: number;
}

/** A request with its complete body. */
export interface HttpRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Maximum time from the first byte sent to the last byte received; with {@link transfer}, to the first one. */
  readonly timeoutMs: number;
  /** Maximum time until the response begins, over all routes that are tried; unbounded if omitted. */
  readonly totalMs?: number;
  /** For bodies without a small size limit: separate limits of their transfer times. */
  readonly transfer?: TransferLimits;
  /** Statuses of responses whose body is not needed; a long one is left unread. */
  readonly unreadStatuses?: readonly number[];
  /** Called as the response arrives: first for its head, without a piece, then for each piece of its body. */
  readonly onArrival?: (status: number, piece?: Uint8Array) => void;
  readonly signal?: AbortSignal;
  /** Uses a new connection and discards the idle ones to that address. */
  readonly isFreshConnection?: boolean;
}

/** A complete response; a truncated one is an error instead. */
export interface HttpReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** How an exchange failed; it determines whether the server may have received the request. */
export const HttpFailure = {
  /** The connection was not established: the server received nothing. */
  notSent: 'notSent',
  /** Something was sent, and no complete response arrived. */
  lost: 'lost',
  /** No complete response arrived before the timeout. */
  timeout: 'timeout',
  /** The caller's signal ended the exchange. */
  aborted: 'aborted',
} as const;

/** One of the values of {@link HttpFailure}. */
export type HttpFailure = (typeof HttpFailure)[keyof typeof HttpFailure];

/** Thrown by {@link HttpCall} for an exchange without a complete response. */
export class HttpCallError extends Error {
  readonly failure: HttpFailure;

  /**
   * @param failure - how the exchange failed
   * @param message - description of the failure
   */
  constructor(failure: HttpFailure, message: string) {
    super(message);
    this.name = 'HttpCallError';
    this.failure = failure;
  }
}

/** Sends one request and returns its complete response, or throws {@link HttpCallError}. */
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
    throw new TypeError(`expected http://host:port, got ${url}`);
  }
  return { host, port: Number(port) };
};

/**
 * @param address - address of a server
 * @returns `http://host:port`
 */
export const formatAddress = (address: Address): string => `http://${address.host}:${address.port}`;
