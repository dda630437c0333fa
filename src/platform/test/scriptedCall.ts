/**
 * An HTTP call with scripted answers that records the requests.
 */
import * as http from '../../base/common/http.js';

/** An answer, or the failure of the exchange. */
export type ScriptedAnswer =
  { readonly status: number; readonly body?: unknown } | { readonly failure: http.HttpFailure };

/** A recorded request. */
export interface SentRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
  readonly timeoutMs: number;
}

/** The scripted call with its recorded requests. */
export interface ScriptedCall {
  readonly call: http.HttpCall;
  readonly sent: readonly SentRequest[];
}

const parse = (body: Uint8Array): unknown =>
  body.byteLength === 0 ? undefined : (JSON.parse(Buffer.from(body).toString('utf8')) as unknown);

/**
 * @param answers - one per request, in order
 * @returns the scripted call
 */
export const createScriptedCall = (...answers: readonly ScriptedAnswer[]): ScriptedCall => {
  const sent: SentRequest[] = [];
  return {
    sent,
    call: ({ method, path, headers, body, timeoutMs }) => {
      sent.push({ method, path, headers, body: parse(body), timeoutMs });
      const answer = answers[sent.length - 1];
      if (answer === undefined) throw new Error(`no scripted answer is left for ${method} ${path}`);
      if ('failure' in answer) {
        return Promise.reject(new http.HttpCallError(answer.failure, answer.failure));
      }
      const text =
        typeof answer.body === 'string' ? answer.body : JSON.stringify(answer.body ?? {});
      return Promise.resolve({ status: answer.status, headers: {}, body: Buffer.from(text) });
    },
  };
};
