/**
 * A line that answers as a test says, and remembers what was sent.
 */
import * as http from '../../base/common/http.js';

/** An answer, or how the exchange fails. */
export type Scripted =
  { readonly status: number; readonly body?: unknown } | { readonly failure: http.HttpFailure };

/** What was sent. */
export interface Sent {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: unknown;
  readonly timeoutMs: number;
}

/** A line with what went over it. */
export interface ScriptedCall {
  readonly call: http.HttpCall;
  readonly sent: readonly Sent[];
}

const parse = (body: Uint8Array): unknown =>
  body.byteLength === 0 ? undefined : (JSON.parse(Buffer.from(body).toString('utf8')) as unknown);

/**
 * @param answers - one for each exchange, in their order
 * @returns the line
 */
export const scriptedCall = (...answers: readonly Scripted[]): ScriptedCall => {
  const sent: Sent[] = [];
  return {
    sent,
    call: ({ method, path, headers, body, timeoutMs }) => {
      sent.push({ method, path, headers, body: parse(body), timeoutMs });
      const answer = answers[sent.length - 1];
      if (answer === undefined) throw new Error(`nothing is scripted for ${method} ${path}`);
      if ('failure' in answer) {
        return Promise.reject(new http.HttpCallError(answer.failure, answer.failure));
      }
      const text =
        typeof answer.body === 'string' ? answer.body : JSON.stringify(answer.body ?? {});
      return Promise.resolve({ status: answer.status, headers: {}, body: Buffer.from(text) });
    },
  };
};
