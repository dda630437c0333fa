/**
 * The callers of a soak: submit jobs, read their states and cancel some, over keep-alive connections that
 * stay open until the server closes them. Each call is recorded as the caller observed it.
 */
import * as http from 'node:http';

import * as clock from '../base/common/clock.js';
import * as random from '../base/common/random.js';
import * as evidence from './evidence.js';

/** The address of an entry for callers. */
export interface EntryEndpoint {
  readonly name: string;
  /** Loopback port of the link to it. */
  readonly port: number;
}

/** Options of the callers. */
export interface CallersOptions {
  readonly clock: clock.Clock;
  readonly random: random.Random;
  /** Chooses the entries that are asked for pending jobs, so that the jobs of a seed don't change. */
  readonly pendingRandom: random.Random;
  readonly endpoints: readonly EntryEndpoint[];
  /** Host name and path of the queue. */
  readonly host: string;
  readonly pathPrefix: string;
  /** Keys to choose from; callers keep using revoked ones. */
  readonly apiKeys: readonly string[];
}

/** The callers. */
export interface Callers {
  readonly jobs: evidence.SubmittedJob[];
  readonly calls: evidence.CallRecord[];
  /** Submits one job and retries until a response is final or the attempts are used up. */
  readonly submit: () => Promise<void>;
  /** Submits jobs of many small tasks that run on the workers with this label only. */
  readonly submitSmall: (label: string, count: number) => Promise<void>;
  /** Submits one job of this many small tasks. */
  readonly submitLarge: (tasks: number) => Promise<void>;
  readonly readAny: () => Promise<void>;
  /** Reads the number of pending jobs. */
  readonly readPending: () => Promise<void>;
  readonly cancelAny: () => Promise<void>;
  /** Polls every accepted job until it has ended, but no longer than this time. */
  readonly pollUntilEnded: (untilMs: number) => Promise<void>;
  readonly dispose: () => void;
}

/** Deadline and retries as used by the platform's callers. */
const DEADLINE_MS = 3000;
const MAX_ATTEMPTS = 5;
const RETRY_MS = 250;

/** Interval between two reads of one job's state. */
const POLL_MS = 300;

const FINAL_STATES = new Set(['complete', 'failed', 'cancelled']);

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

interface AnswerBody {
  readonly state?: string;
  readonly pending?: number;
}

const parseAnswer = (body: string): AnswerBody => {
  try {
    return JSON.parse(body) as AnswerBody;
  } catch {
    // Not JSON, so the response contains neither a state nor a count.
    return {};
  }
};

/** Tasks of a job of small tasks. */
const SMALL_TASKS = 50;

const makeSteps = (next: random.Random): evidence.SubmittedStep[] => {
  const first = {
    count: 1 + random.integerBelow(next, 3),
    accelerators: [1, 2, 4, 8][random.integerBelow(next, 4)] ?? 1,
    isGang: next() < 0.4,
    after: [],
  };
  return next() < 0.3 ? [first, { count: 2, accelerators: 1, isGang: false, after: [0] }] : [first];
};

const requestBodyOf = (job: evidence.SubmittedJob): string =>
  JSON.stringify({
    spec: job.payload,
    steps: job.steps.map(({ count, accelerators, isGang, after, requires, isSmall }) => ({
      count,
      cpu: isSmall === true ? 10 : 1000,
      mem_mb: isSmall === true ? 10 : 1000,
      gpu: accelerators,
      est_ms: 1000,
      gang: isGang,
      after,
      ...(requires === undefined ? {} : { requires }),
    })),
  });

/**
 * @param options - options of the callers
 * @returns callers that have sent nothing yet
 */
export const createCallers = (options: CallersOptions): Callers => {
  const { clock: time, random: next } = options;
  const agent = new http.Agent({ keepAlive: true, maxSockets: 8 });
  const jobs: evidence.SubmittedJob[] = [];
  const calls: evidence.CallRecord[] = [];
  const accepted = new Set<string>();

  const pick = <T>(items: readonly T[], from = next): T | undefined =>
    items[random.integerBelow(from, items.length)];

  const call = async (
    method: evidence.CallRecord['method'],
    jobId: string,
    body = '',
    choice = next,
  ): Promise<evidence.CallRecord> => {
    const endpoint = pick(options.endpoints, choice) as EntryEndpoint;
    const apiKey = pick(options.apiKeys, choice) ?? '';
    let sentAtMs = time.monotonicMs();
    const request = http.request({
      host: '127.0.0.1',
      port: endpoint.port,
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
    // Many calls at once wait for a connection of the pool; an entry that is down cuts a call off only then.
    request.once('socket', () => {
      sentAtMs = time.monotonicMs();
    });
    const { end, status, body: text } = await send(request, body);
    const { state, pending } = status === 200 && method === 'GET' ? parseAnswer(text) : {};
    const endedAtMs = time.monotonicMs();
    const record = {
      entry: endpoint.name,
      method,
      jobId,
      apiKey,
      sentAtMs,
      endedAtMs,
      end,
      status,
    };
    const callRecord = { ...record, state, pending };
    calls.push(callRecord);
    return callRecord;
  };

  const readHasEnded = async (jobId: string): Promise<boolean> => {
    const { state } = await call('GET', jobId);
    return state !== undefined && FINAL_STATES.has(state);
  };

  const submitJob = async (steps: readonly evidence.SubmittedStep[]): Promise<void> => {
    const jobId = jobs.length.toString(16).padStart(16, 'a');
    const job = { jobId, payload: `work of ${jobId}`, steps };
    jobs.push(job);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const { status } = await call('POST', jobId, requestBodyOf(job));
      if (status === 200) accepted.add(jobId);
      if (status === 200 || status === 400 || status === 404) return;
      await clock.sleep(time, RETRY_MS);
    }
  };

  return {
    jobs,
    calls,
    submit: () => submitJob(makeSteps(next)),
    submitSmall: async (requires, count) => {
      const small = { count: SMALL_TASKS, accelerators: 0, isGang: false, after: [] };
      const step = { ...small, requires, isSmall: true };
      await Promise.all(Array.from({ length: count }, () => submitJob([step])));
    },
    submitLarge: (count) =>
      submitJob([{ count, accelerators: 0, isGang: false, after: [], isSmall: true }]),
    readPending: async () => {
      await call('GET', '', '', options.pendingRandom);
    },
    readAny: async () => {
      const jobId = pick([...accepted]);
      if (jobId !== undefined) await call('GET', jobId);
    },
    cancelAny: async () => {
      const jobId = pick([...accepted]);
      if (jobId !== undefined) await call('DELETE', jobId);
    },
    pollUntilEnded: async (untilMs) => {
      const pollOne = async (jobId: string): Promise<void> => {
        while (time.monotonicMs() < untilMs && !(await readHasEnded(jobId))) {
          await clock.sleep(time, POLL_MS);
        }
      };
      await Promise.all([...accepted].map(pollOne));
    },
    dispose: () => agent.destroy(),
  };
};
