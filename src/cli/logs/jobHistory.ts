/**
 * The history of each job as logged: when it was accepted and received by the leader, each run of its
 * groups, each wait reason, its end. A group starts and ends together: a gang or a single task.
 */
import type * as leaderTerms from './leaderTerms.js';
import type * as logLines from './logLines.js';

/** A reason why a group was not started, valid from the time at which it was logged. */
export interface WaitReason {
  readonly atMs: number;
  readonly reason: string;
}

/** One run of a group. */
export interface GroupRun {
  readonly run: number;
  /** Number of tasks that run remote from their data or outside their rack. */
  readonly remoteTasks: number;
  readonly placedAtMs: number;
  /** Wait reasons logged before it was placed. */
  readonly waits: readonly WaitReason[];
  /** When the worker of the last member accepted it. */
  startedAtMs: number | undefined;
  stop: { readonly atMs: number; readonly cause: string } | undefined;
  /** When the worker's agent first listed the end. */
  listedAtMs: number | undefined;
  endedAtMs: number | undefined;
  /** How it ended, as recorded by the leader. */
  how: string | undefined;
  /** Factor by which the slowest of its workers takes longer than the mean one, as far as was known at its end. */
  speedFactor: number;
  /** Core-seconds of a run that neither finished nor wrote a checkpoint. */
  wastedCoreSeconds: number;
}

/** A group with its runs in order. */
export interface GroupHistory {
  readonly group: string;
  readonly step: number;
  readonly runs: GroupRun[];
  /** Wait reasons logged since its last run was placed. */
  openWaits: WaitReason[];
}

/** How a job ended, as recorded by the leader. */
export interface JobEnd {
  readonly atMs: number;
  readonly state: string;
  readonly timeliness: string;
  readonly durationMs: number;
  readonly objectiveMs: number;
}

/** The logged history of a job. */
export interface JobHistory {
  readonly jobId: string;
  queue: string;
  customer: string;
  acceptedAtMs: number | undefined;
  receivedAtMs: number | undefined;
  cancelledAtMs: number | undefined;
  readonly groups: Map<string, GroupHistory>;
  end: JobEnd | undefined;
  /** Time of the first line that names the job. */
  readonly firstAtMs: number;
}

/** What is known from the logs beyond the jobs: leader terms and the end of the log. */
export interface LogContext extends leaderTerms.Terms {
  /** Time of the last line. */
  readonly lastAtMs: number;
}

/** `JOB.OCCURRENCE.STEP` or `JOB.OCCURRENCE.STEP.INDEX`. */
const nameParts = (name: string): readonly string[] => name.split('.');

const textOf = ({ fields }: logLines.LogEvent, name: string): string => fields.get(name) ?? '';

const numberOf = (event: logLines.LogEvent, name: string): number =>
  Number(event.fields.get(name) ?? Number.NaN);

/**
 * @param event - one event
 * @returns the id of the job that it names directly or through a task or group name
 */
export const jobIdOf = (event: logLines.LogEvent): string | undefined => {
  const { fields } = event;
  const named = fields.get('job') ?? fields.get('task') ?? fields.get('group');
  const jobId = named === undefined ? undefined : nameParts(named)[0];
  return jobId === '' ? undefined : jobId;
};

const createHistory = (jobId: string, firstAtMs: number): JobHistory => ({
  jobId,
  queue: '',
  customer: '',
  acceptedAtMs: undefined,
  receivedAtMs: undefined,
  cancelledAtMs: undefined,
  groups: new Map(),
  end: undefined,
  firstAtMs,
});

const groupOf = (job: JobHistory, group: string): GroupHistory => {
  const known = job.groups.get(group);
  if (known !== undefined) return known;
  const step = Number(nameParts(group)[2] ?? 0);
  const created: GroupHistory = { group, step, runs: [], openWaits: [] };
  job.groups.set(group, created);
  return created;
};

/** Finds the run of an event. Lines about a gang name its tasks; the gang's name lacks the task index. */
const runOf = (job: JobHistory, event: logLines.LogEvent): GroupRun | undefined => {
  const name = event.fields.get('group') ?? textOf(event, 'task');
  const group = job.groups.get(name) ?? job.groups.get(nameParts(name).slice(0, 3).join('.'));
  const run = numberOf(event, 'run');
  return group?.runs.find((it) => it.run === run);
};

const recordPlaced = (job: JobHistory, event: logLines.LogEvent): void => {
  const group = groupOf(job, textOf(event, 'group'));
  group.runs.push({
    run: numberOf(event, 'run'),
    remoteTasks: numberOf(event, 'away'),
    placedAtMs: event.atMs,
    waits: group.openWaits,
    startedAtMs: undefined,
    stop: undefined,
    listedAtMs: undefined,
    endedAtMs: undefined,
    how: undefined,
    speedFactor: 1,
    wastedCoreSeconds: 0,
  });
  group.openWaits = [];
};

const recordEnd = (job: JobHistory, event: logLines.LogEvent): void => {
  job.queue = textOf(event, 'queue');
  job.customer = textOf(event, 'customer');
  job.end = {
    atMs: event.atMs,
    state: textOf(event, 'state'),
    timeliness: textOf(event, 'timeliness'),
    durationMs: numberOf(event, 'durationMs'),
    objectiveMs: numberOf(event, 'objectiveMs'),
  };
};

type EventHandler = (job: JobHistory, event: logLines.LogEvent) => void;

const HANDLERS: Readonly<Record<string, EventHandler>> = {
  jobAccepted: (job, event) => {
    job.acceptedAtMs ??= event.atMs;
    job.queue = textOf(event, 'queue');
    job.customer = textOf(event, 'customer');
  },
  jobLearnt: (job, event) => {
    job.receivedAtMs ??= event.atMs;
  },
  jobCancelled: (job, event) => {
    job.cancelledAtMs ??= event.atMs;
  },
  waits: (job, event) => {
    const group = groupOf(job, textOf(event, 'group'));
    group.openWaits.push({ atMs: event.atMs, reason: textOf(event, 'reason') });
  },
  placed: recordPlaced,
  startGiven: (job, event) => {
    const run = runOf(job, event);
    if (run !== undefined && textOf(event, 'outcome') === 'accepted') run.startedAtMs = event.atMs;
  },
  runStopped: (job, event) => {
    const run = runOf(job, event);
    if (run !== undefined) run.stop ??= { atMs: event.atMs, cause: textOf(event, 'cause') };
  },
  endListed: (job, event) => {
    const run = runOf(job, event);
    if (run !== undefined) run.listedAtMs ??= event.atMs;
  },
  workerCrashedUnder: (job, event) => {
    const run = runOf(job, event);
    if (run === undefined) return;
    run.endedAtMs ??= event.atMs;
    run.how ??= 'workerCrashed';
  },
  runEnded: (job, event) => {
    const run = runOf(job, event);
    if (run === undefined) return;
    run.endedAtMs ??= event.atMs;
    run.how ??= textOf(event, 'how');
    // Absent in the logs of leaders that learn no speeds.
    run.speedFactor = Math.max(1, numberOf(event, 'speedFactor') || 1);
    const isUseful = run.how === 'done' || textOf(event, 'checkpointing') === 'true';
    const coreMs = numberOf(event, 'heldMs') * numberOf(event, 'cores');
    if (!isUseful && !Number.isNaN(coreMs)) run.wastedCoreSeconds = coreMs / 1000;
  },
  jobEnded: recordEnd,
};

/**
 * @param event - one event
 * @returns whether it contributes to a job's history
 */
export const isHistoryEvent = ({ event }: logLines.LogEvent): boolean =>
  Object.hasOwn(HANDLERS, event);

/** The event fields that a history is built from. */
export const HISTORY_FIELDS: ReadonlySet<string> = new Set([
  'job',
  'task',
  'group',
  'run',
  'away',
  'speedFactor',
  'queue',
  'customer',
  'reason',
  'outcome',
  'cause',
  'how',
  'checkpointing',
  'heldMs',
  'cores',
  'state',
  'timeliness',
  'durationMs',
  'objectiveMs',
]);

/**
 * @param jobId - a job
 * @param events - events that name it, sorted by time
 * @param terms - the leader terms
 * @returns its history
 */
export const buildHistory = (
  jobId: string,
  events: Iterable<logLines.LogEvent>,
  { isOutdated }: leaderTerms.Terms,
): JobHistory => {
  let job: JobHistory | undefined;
  for (const event of events) {
    job ??= createHistory(jobId, event.atMs);
    if (isHistoryEvent(event) && !isOutdated(event)) HANDLERS[event.event]?.(job, event);
  }
  return job ?? createHistory(jobId, 0);
};
