/**
 * HTTP listener of the agent for callers' requests that entries forward.
 */
import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import type * as envelope from '../../protocol/common/envelope.js';
import * as exchange from '../../protocol/common/exchange.js';
import type * as requestRecord from '../../protocol/common/requestRecord.js';
import type * as requestHost from '../../protocol/node/requestHost.js';
import type * as httpParser from './httpParser.js';
import * as httpServer from './httpServer.js';
import * as rpcServer from './rpcServer.js';

/** Options of the listener. */
export interface ExchangeListenerOptions {
  readonly peerSecret: string;
  readonly maxBodyBytes: number;
  readonly sender: () => envelope.Sender;
  readonly host: requestHost.RequestHost;
  readonly recordVersion: (version: number) => void;
  /** Handles all other paths. */
  readonly fallback: httpParser.Listener;
}

const parseHead = (header: string | string[] | undefined): exchange.ExchangeRequest => {
  let head: unknown;
  try {
    head = JSON.parse(String(header));
  } catch {
    throw errors.fail('invalidRequest', 'the exchange header is not JSON', {
      field: exchange.REQUEST_HEADER,
    });
  }
  return schemaIssues.decodeOrFail(exchange.ExchangeRequest, head, 'exchange');
};

const toReply = (
  options: ExchangeListenerOptions,
  { requestId, attemptId }: exchange.ExchangeRequest,
  outcome: requestRecord.Outcome,
): httpServer.ServerReply => {
  const isAnswer = outcome.type === 'answer';
  const head: exchange.ExchangeReply = {
    from: options.sender(),
    requestId,
    attemptId,
    bootId: options.host.bootId,
    clockMs: options.host.clockMs(),
    kind: isAnswer ? 'answer' : 'error',
    status: isAnswer ? outcome.answer.status : 0,
    contentType: isAnswer ? outcome.answer.contentType : 'application/json',
    ...options.host.load(),
  };
  return {
    status: 200,
    headers: { [exchange.REPLY_HEADER]: JSON.stringify(head) },
    body: isAnswer ? outcome.answer.body : JSON.stringify(outcome.error),
  };
};

/**
 * @param options - dependencies and limits
 * @returns a listener that handles forwarded requests and passes all others on
 */
export const createExchangeListener = (options: ExchangeListenerOptions): httpParser.Listener => {
  const handler: httpServer.Handler = async (request) => {
    const head = parseHead(request.headers[exchange.REQUEST_HEADER]);
    options.recordVersion(head.from.configVersion);
    return toReply(options, head, await options.host.exchange(head, request.body));
  };
  const exchangeListener = httpServer.toListener(handler, options.maxBodyBytes);
  const refuse = rpcServer.createRefusal(options.maxBodyBytes);
  return (message, response, context) => {
    if (message.url !== exchange.EXCHANGE_PATH) return options.fallback(message, response, context);
    return rpcServer.isPeer(message, options.peerSecret)
      ? exchangeListener(message, response, context)
      : refuse(message, response, context);
  };
};
