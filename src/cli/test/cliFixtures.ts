/**
 * A fake entry and its responses, for tests of the commands.
 */
import type * as http from '../../base/common/http.js';
import type * as configuration from '../../state/common/configuration.js';
import type * as job from '../../state/common/job.js';
import type * as ledgerEntry from '../../state/common/ledgerEntry.js';

/** The operator's token; it must never be printed. */
export const TOKEN = 'secret-token-of-the-operator';

/** Responses by method and path; a function receives the body and may throw. */
export type Answers = Readonly<Record<string, unknown>>;

/** A fake entry that records its requests. */
export interface FakeEntry {
  readonly call: http.HttpCall;
  /** Method and path of each request. */
  readonly sent: string[];
}

/**
 * @param answers - responses by method and path; other requests get a not-found error
 * @returns the fake entry
 */
export const createFakeEntry = (answers: Answers): FakeEntry => {
  const sent: string[] = [];
  const reply = (status: number, value: unknown): http.HttpReply => ({
    status,
    headers: { 'content-type': 'application/json' },
    body: Buffer.from(JSON.stringify(value)),
  });
  const answer = (request: http.HttpRequest): http.HttpReply => {
    const key = `${request.method} ${request.path}`;
    sent.push(key);
    const found = answers[key];
    if (found === undefined) {
      return reply(404, { error: { kind: 'notFound', message: `no ${key}` } });
    }
    if (typeof found !== 'function') return reply(200, found);
    const give = found as (body: unknown) => unknown;
    return reply(200, give(JSON.parse(Buffer.from(request.body).toString('utf8'))));
  };
  return {
    sent,
    call: (request) =>
      new Promise((resolve) => {
        resolve(answer(request));
      }),
  };
};

const DOCUMENT: configuration.ConfigurationDocument = {
  customers: [
    {
      customerId: 'acme',
      name: 'Acme',
      requestWeight: 1,
      guaranteedSlots: 1,
      quotaAccelerators: 8,
    },
  ],
  shapes: [],
  rules: [],
  cells: [
    { cell: 'zone-a', region: 'here', workers: 1, acceleratorsPerWorker: 1, workersPerRack: 1 },
  ],
  placement: {
    completionWeight: 0.5,
    reclaimGraceMs: 1000,
    largeJobAccelerators: 8,
    largeJobWaitMs: 1000,
    quarantineFailures: 3,
    quarantineCapShare: 0.5,
    unrunnableFailures: 3,
    taskLeaseMs: 10_000,
  },
  routing: {
    crossRegionPriceMs: 50,
    crossRegionMaxShare: 0.2,
    retryBudgetShare: 0.1,
    ejectionCapShare: 0.3,
    defaultDeadlineMs: 1000,
  },
  objectives: [],
};

/** The active configuration. */
export const RECORD: configuration.ConfigurationRecord = {
  version: 7,
  writeId: 'w',
  author: 'ada',
  reason: 'first',
  writtenAtMs: 0,
  document: DOCUMENT,
};

/**
 * @param routing - changed fields of the routing policy
 * @returns a document with a comment, as operators write it
 */
export const documentText = (routing: Partial<configuration.RoutingPolicy>): string =>
  `// a comment\n${JSON.stringify({ ...DOCUMENT, routing: { ...DOCUMENT.routing, ...routing } })}`;

/** A running job on spare capacity. */
export const JOB: job.JobRecord = {
  spec: {
    jobId: 'plan-1',
    customerId: 'acme',
    kind: 'plan',
    cell: 'zone-a',
    claim: 'spare',
    members: 1,
    acceleratorsPerMember: 1,
    adjacency: 'worker',
    declaredRunMs: 1000,
    isCheckpointable: true,
    payload: '',
  },
  state: 'running',
  submittedAtMs: 0,
  attempt: 1,
  epoch: 1,
  placement: [{ member: 0, workerId: 'w1', accelerators: [0] }],
  ruleId: 'night',
  checkpointMs: 0,
  failures: [],
  decisions: [{ atMs: 0, what: 'placed', why: 'rule night lends it', configVersion: 7 }],
};

/** The list of cells, with one cell. */
export const CELLS = {
  cells: [{ cell: 'zone-a', region: 'here', leaderId: 's1', epoch: 1, isLed: true }],
};

/** The state of the cell as reported by its leader. */
export const CELL_VIEW = {
  cell: 'zone-a',
  epoch: 1,
  leaderId: 's1',
  workers: [
    { worker: { workerId: 'w1', rack: 'r1', accelerators: 1 }, health: 'ready', healthReason: '' },
  ],
  jobs: [JOB],
  warnings: [],
};

const HOUR_MS = 3_600_000;
const HOUR_NUMBER = 10;

/** Current time of the commands. */
export const NOW_MS = (HOUR_NUMBER + 1) * HOUR_MS;

/** The only entry of {@link HOUR}. */
export const ENTRY: ledgerEntry.LedgerEntry = {
  customerId: 'acme',
  jobId: 'plan-1',
  attempt: 1,
  reason: 'guarantee',
  ruleId: '',
  configVersion: 7,
  acceleratorMs: HOUR_MS,
};

/** A ledger hour that balances. */
export const HOUR: ledgerEntry.LedgerHour = {
  cell: 'zone-a',
  hour: HOUR_NUMBER,
  epoch: 1,
  bookedFromMs: HOUR_NUMBER * HOUR_MS,
  bookedUntilMs: NOW_MS,
  capacities: [{ accelerators: 1, durationMs: HOUR_MS }],
  capacityAcceleratorMs: HOUR_MS,
  conflictingAcceleratorMs: 0,
  entries: [ENTRY],
};

/**
 * @param hour - the only hour of the only cell
 * @returns the entry's responses for the ledger
 */
export const ledgerAnswers = (hour: ledgerEntry.LedgerHour): Answers => ({
  'GET /api/ledger/zone-a': { hours: [hour] },
  'GET /api/ledger-days/zone-a': { days: [] },
});

const windowOf = (windowMs: number) => ({ windowMs, good: 1, bad: 1, burnRate: 50 });

/** A report with one burning objective. */
export const BURN = {
  atMs: NOW_MS,
  configVersion: 7,
  objectives: [
    {
      objective: {
        objectiveId: '<b>fast</b>',
        customerId: 'acme',
        kind: 'startWithin',
        thresholdMs: 1000,
        target: 0.99,
        windowMs: HOUR_MS,
      },
      pairs: [
        {
          short: windowOf(300_000),
          long: windowOf(HOUR_MS),
          threshold: 14.4,
          isBurning: true,
        },
      ],
      isBurning: true,
      budget: windowOf(HOUR_MS),
      budgetLeftShare: -49,
      history: [{ fromMs: HOUR_NUMBER * HOUR_MS, good: 1, bad: 1 }],
    },
  ],
};
