/**
 * The callers of a soak: hand jobs in, ask for their states and cancel some, over connections that they
 * keep open until the other side ends them. Each call is recorded as the caller saw it.
 */
import * as http from 'node:http';

import * as clock from '../base/common/clock.js';
import * as random from '../base/common/random.js';
import * as evidence from './evidence.js';

/** An entry as callers reach it. */
export interface EntryDoor {
  readonly name: string;
  /** Loopback port of its line. */
  readonly port: number;
}

/** What callers need. */
export interface CallersOptions {
  readonly clock: clock.Clock;
  readonly random: random.Random;
  readonly doors: readonly EntryDoor[];
  /** Host name and path of the queue. */
  readonly host: string;
  readonly pathPrefix: string;
  /** Keys in use; a revoked one goes on being tried. */
  readonly apiKeys: readonly string[];
}

/** The callers. */
export interface Callers {
  readonly jobs: evidence.SubmittedJob[];
  readonly calls: evidence.CallRecord[];
  /** Hands in one job, again and again until an answer is final; settled then. */
  readonly submit: () => Promise<void>;
  readonly askAny: () => Promise<void>;
  readonly cancelAny: () => Promise<void>;
  /** Asks for every accepted job until it has ended, at most until then. */
  readonly askUntilEnded: (untilMs: number) => Promise<void>;
  readonly dispose: () => void;
}

/** As the callers of the platform. */
const DEADLINE_MS = 3000;
const MAX_ATTEMPTS = 5;
const RETRY_MS = 250;

/** Between two questions about one job. */
const ASK_AGAIN_MS = 300;

const LAST_STATES = new Set(['complete', 'failed', 'cancelled']);

interface Reply {
  readonly end: evidence.CallEnd;
  readonly status: number;
  readonly body: string;
}

const send = (request: http.ClientRequest, body: string): Promise<Reply> =>
  new Promise((resolve) => {
    const settle = (end: evidence.CallEnd, status = 0, text = ''): void => {
      clearTimeout(timer);
      resolve({ end, status, body: text });
    };
    const timer = setTimeout(() => {
      settle(evidence.CallEnd.timeout);
      request.destroy();
    }, DEADLINE_MS);
    request.on('error', (error: NodeJS.ErrnoException) => {
      const isSent = error.code !== 'ECONNREFUSED' && request.socket?.connecting !== true;
      settle(isSent ? evidence.CallEnd.cut : evidence.CallEnd.notSent);
    });
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', () => settle(evidence.CallEnd.cut));
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        settle(evidence.CallEnd.answered, response.statusCode ?? 0, text);
      });
    });
    request.end(body);
  });

const stateIn = (body: string): string | undefined => {
  try {
    return (JSON.parse(body) as { state?: string }).state;
  } catch {
    // Not a job's state: the answer to another kind of call.
    return undefined;
  }
};

const makeSteps = (next: random.Random): evidence.SubmittedStep[] => {
  const first = {
    count: 1 + random.integerBelow(next, 3),
    accelerators: [1, 2, 4, 8][random.integerBelow(next, 4)] ?? 1,
    isGang: next() < 0.4,
    after: [],
  };
  return next() < 0.3 ? [first, { count: 2, accelerators: 1, isGang: false, after: [0] }] : [first];
};

const wireOf = (job: evidence.SubmittedJob): string =>
  JSON.stringify({
    spec: job.payload,
    steps: job.steps.map(({ count, accelerators, isGang, after }) => ({
      count,
      cpu: 1000,
      mem_mb: 1000,
      gpu: accelerators,
      est_ms: 1000,
      gang: isGang,
      after,
    })),
  });

/**
 * @param options - what callers need
 * @returns callers that have done nothing yet
 */
export const createCallers = (options: CallersOptions): Callers => {
  const { clock: time, random: next } = options;
  const agent = new http.Agent({ keepAlive: true, maxSockets: 8 });
  const jobs: evidence.SubmittedJob[] = [];
  const calls: evidence.CallRecord[] = [];
  const accepted = new Set<string>();

  const pick = <T>(items: readonly T[]): T | undefined =>
    items[random.integerBelow(next, items.length)];

  const call = async (
    method: evidence.CallRecord['method'],
    jobId: string,
    body = '',
  ): Promise<evidence.CallRecord> => {
    const door = pick(options.doors) as EntryDoor;
    const apiKey = pick(options.apiKeys) ?? '';
    const sentAtMs = time.monotonicMs();
    const request = http.request({
      host: '127.0.0.1',
      port: door.port,
      method,
      path: `${options.pathPrefix}${jobId}`,
      agent,
      headers: {
        host: options.host,
        'auburnlift-key': apiKey,
        'auburnlift-deadline-ms': DEADLINE_MS,
        'content-type': 'application/json',
      },
    });
    const { end, status, body: text } = await send(request, body);
    const state = status === 200 && method === 'GET' ? stateIn(text) : undefined;
    const endedAtMs = time.monotonicMs();
    const record = { entry: door.name, method, jobId, apiKey, sentAtMs, endedAtMs, end, status };
    const seen = { ...record, state };
    calls.push(seen);
    return seen;
  };

  const ask = async (jobId: string): Promise<boolean> => {
    const { state } = await call('GET', jobId);
    return state !== undefined && LAST_STATES.has(state);
  };

  return {
    jobs,
    calls,
    submit: async () => {
      const jobId = jobs.length.toString(16).padStart(16, 'a');
      const job = { jobId, payload: `work of ${jobId}`, steps: makeSteps(next) };
      jobs.push(job);
      for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
        const { status } = await call('POST', jobId, wireOf(job));
        if (status === 200) accepted.add(jobId);
        if (status === 200 || status === 400 || status === 404) return;
        await clock.sleep(time, RETRY_MS);
      }
    },
    askAny: async () => {
      const jobId = pick([...accepted]);
      if (jobId !== undefined) await call('GET', jobId);
    },
    cancelAny: async () => {
      const jobId = pick([...accepted]);
      if (jobId !== undefined) await call('DELETE', jobId);
    },
    askUntilEnded: async (untilMs) => {
      const askOne = async (jobId: string): Promise<void> => {
        while (time.monotonicMs() < untilMs && !(await ask(jobId))) {
          await clock.sleep(time, ASK_AGAIN_MS);
        }
      };
      await Promise.all([...accepted].map(askOne));
    },
    dispose: () => agent.destroy(),
  };
};
