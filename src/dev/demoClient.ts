/**
 * A small HTTP client for the demo: callers' requests, jobs and operators' reads.
 */
import * as http from '../base/common/http.js';
import type * as job from '../state/common/job.js';
import type * as ledgerEntry from '../state/common/ledgerEntry.js';

/** The response to a call. */
export interface CallResult {
  readonly requestId: string;
  readonly status: number;
  /** The parsed body, or its text if it is not JSON. */
  readonly body: unknown;
}

/** The calls that the demo sends to the system. */
export interface DemoClient {
  readonly request: (
    entryUrl: string,
    requestId: string,
    customerId: string,
  ) => Promise<CallResult>;
  readonly submit: (entryUrl: string, spec: job.JobSpec) => Promise<CallResult>;
  readonly show: (entryUrl: string, spec: job.JobSpec) => Promise<job.JobRecord>;
  readonly cancel: (
    entryUrl: string,
    cell: string,
    jobIds: readonly string[],
  ) => Promise<CallResult>;
  readonly ledger: (
    operatorsUrl: string,
    cell: string,
  ) => Promise<readonly ledgerEntry.LedgerHour[]>;
  readonly isReady: (entryUrl: string) => Promise<boolean>;
  readonly cells: (operatorsUrl: string) => Promise<readonly { isLed: boolean }[]>;
}

const DEADLINE_MS = 8000;

/**
 * @param call - sends requests
 * @param operatorToken - token with the read role
 * @returns the client
 */
export const createDemoClient = (call: http.HttpCall, operatorToken: string): DemoClient => {
  const send = async (
    url: string,
    method: string,
    path: string,
    body?: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<CallResult> => {
    const reply = await call({
      address: http.parseAddress(url),
      method,
      path,
      headers: { 'content-type': 'application/json', ...headers },
      body: body === undefined ? new Uint8Array() : Buffer.from(JSON.stringify(body)),
      timeoutMs: DEADLINE_MS + 1000,
    });
    const text = Buffer.from(reply.body).toString('utf8');
    const isJson = reply.headers['content-type']?.startsWith('application/json') ?? false;
    return {
      requestId: headers['idempotency-key'] ?? '',
      status: reply.status,
      body: isJson ? (JSON.parse(text) as unknown) : text,
    };
  };
  const operator = { authorization: `Bearer ${operatorToken}` };
  return {
    request: (entryUrl, requestId, customerId) =>
      send(
        entryUrl,
        'POST',
        '/call/plan',
        { requestId },
        {
          'idempotency-key': requestId,
          'auburnlift-customer': customerId,
          'auburnlift-deadline-ms': String(DEADLINE_MS),
        },
      ),
    submit: (entryUrl, spec) => send(entryUrl, 'POST', '/v1/jobs', spec),
    show: async (entryUrl, spec) => {
      const path = `/v1/jobs/${spec.cell}/${encodeURIComponent(spec.jobId)}`;
      return ((await send(entryUrl, 'GET', path)).body as { job: job.JobRecord }).job;
    },
    cancel: (entryUrl, cell, jobIds) => send(entryUrl, 'POST', '/v1/jobs/cancel', { cell, jobIds }),
    ledger: async (operatorsUrl, cell) => {
      const { body } = await send(operatorsUrl, 'GET', `/api/ledger/${cell}`, undefined, operator);
      return (body as { hours: ledgerEntry.LedgerHour[] }).hours;
    },
    isReady: async (entryUrl) => (await send(entryUrl, 'GET', '/readyz')).status === 200,
    cells: async (operatorsUrl) => {
      const { body } = await send(operatorsUrl, 'GET', '/api/cells', undefined, operator);
      return (body as { cells: { isLed: boolean }[] }).cells;
    },
  };
};
