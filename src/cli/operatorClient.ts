/**
 * Client of the operators' API for the commands. The token is used in one header only.
 */
import * as errors from '../base/common/errors.js';
import * as http from '../base/common/http.js';

/** How to reach an entry. */
export interface OperatorClientOptions {
  readonly call: http.HttpCall;
  /** `http://host:port` of an entry's operator listener. */
  readonly url: string;
  readonly token: string;
  readonly timeoutMs: number;
}

/** Sends requests and returns the parsed responses. */
export interface OperatorClient {
  /** @throws AuburnliftError of the kind in the entry's response */
  readonly get: (path: string) => Promise<unknown>;
  /** @throws AuburnliftError, `outcomeUnknown` if the response was lost */
  readonly send: (method: 'PUT' | 'POST', path: string, body: unknown) => Promise<unknown>;
}

const parseReply = (reply: http.HttpReply): unknown => {
  try {
    return JSON.parse(Buffer.from(reply.body).toString('utf8')) as unknown;
  } catch {
    throw errors.fail('internal', `the entry's response with status ${reply.status} is not JSON`);
  }
};

const toError = (thrown: unknown, isWrite: boolean): unknown => {
  if (!(thrown instanceof http.HttpCallError)) return thrown;
  if (isWrite && thrown.failure !== http.HttpFailure.notSent) {
    return errors.fail(
      'outcomeUnknown',
      `no response (${thrown.message}); the request may have taken effect`,
    );
  }
  return errors.fail('peerUnreachable', `the entry does not respond: ${thrown.message}`);
};

const addressOf = (url: string): http.Address => {
  try {
    return http.parseAddress(url);
  } catch {
    throw errors.fail('invalidRequest', '--url: http://host:port is expected', { field: 'url' });
  }
};

/**
 * @param options - how to reach an entry
 * @returns the client
 */
export const createOperatorClient = (options: OperatorClientOptions): OperatorClient => {
  const exchange = async (method: string, path: string, body?: unknown): Promise<unknown> => {
    const isWrite = method !== 'GET';
    let reply: http.HttpReply;
    try {
      reply = await options.call({
        address: addressOf(options.url),
        method,
        path,
        headers: {
          authorization: `Bearer ${options.token}`,
          ...(isWrite ? { 'content-type': 'application/json' } : {}),
        },
        body: body === undefined ? new Uint8Array() : Buffer.from(JSON.stringify(body)),
        timeoutMs: options.timeoutMs,
      });
    } catch (thrown) {
      throw toError(thrown, isWrite);
    }
    const value = parseReply(reply);
    if (reply.status >= 200 && reply.status < 300) return value;
    throw errors.fromBody((value as { readonly error?: unknown } | null)?.error);
  };
  return {
    get: (path) => exchange('GET', path),
    send: (method, path, body) => exchange(method, path, body),
  };
};
