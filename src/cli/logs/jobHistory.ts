/**
 * What the logs say of each job's life: when it was accepted and learnt, each run of its groups, each
 * reason to wait, its end. A group is what starts and ends together: a gang, or one task.
 */
import type * as leaderTerms from './leaderTerms.js';
import type * as logLines from './logLines.js';

/** A reason why a group was not started, from the moment at which it was told. */
export interface WaitReason {
  readonly atMs: number;
  readonly reason: string;
}

/** One run of a group. */
export interface GroupRun {
  readonly run: number;
  /** Tasks away from their data or their rack. */
  readonly awayTasks: number;
  readonly placedAtMs: number;
  /** Reasons told before it was placed. */
  readonly waits: readonly WaitReason[];
  /** When the last member was taken by its worker. */
  startedAtMs: number | undefined;
  stop: { readonly atMs: number; readonly cause: string } | undefined;
  /** When the worker's agent saw the end. */
  listedAtMs: number | undefined;
  endedAtMs: number | undefined;
  /** How it ended, as the leader took note of it. */
  how: string | undefined;
  /** Core-seconds that a run cost which was not done and saved nothing. */
  thrownAwayCoreSeconds: number;
}

/** A group with its runs in their order. */
export interface GroupHistory {
  readonly group: string;
  readonly step: number;
  readonly runs: GroupRun[];
  /** Reasons told since its last run was placed. */
  openWaits: WaitReason[];
}

/** How a job ended, by the leader. */
export interface JobEnd {
  readonly atMs: number;
  readonly state: string;
  readonly timeliness: string;
  readonly durationMs: number;
  readonly objectiveMs: number;
}

/** A job's life. */
export interface JobHistory {
  readonly jobId: string;
  queue: string;
  customer: string;
  acceptedAtMs: number | undefined;
  learntAtMs: number | undefined;
  cancelledAtMs: number | undefined;
  readonly groups: Map<string, GroupHistory>;
  end: JobEnd | undefined;
  /** Time of the first line that names it. */
  readonly firstAtMs: number;
}

/** What the logs tell besides a job's life. */
export interface Surroundings extends leaderTerms.Terms {
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
 * @returns the job that it names, by itself or by the name of a task or a group
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
  learntAtMs: undefined,
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

/** A gang's lines name its tasks; the gang itself is named without their number. */
const runOf = (job: JobHistory, event: logLines.LogEvent): GroupRun | undefined => {
  const name = event.fields.get('group') ?? textOf(event, 'task');
  const group = job.groups.get(name) ?? job.groups.get(nameParts(name).slice(0, 3).join('.'));
  const run = numberOf(event, 'run');
  return group?.runs.find((it) => it.run === run);
};

const notePlaced = (job: JobHistory, event: logLines.LogEvent): void => {
  const group = groupOf(job, textOf(event, 'group'));
  group.runs.push({
    run: numberOf(event, 'run'),
    awayTasks: numberOf(event, 'away'),
    placedAtMs: event.atMs,
    waits: group.openWaits,
    startedAtMs: undefined,
    stop: undefined,
    listedAtMs: undefined,
    endedAtMs: undefined,
    how: undefined,
    thrownAwayCoreSeconds: 0,
  });
  group.openWaits = [];
};

const noteEnd = (job: JobHistory, event: logLines.LogEvent): void => {
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

type Note = (job: JobHistory, event: logLines.LogEvent) => void;

const NOTES: Readonly<Record<string, Note>> = {
  jobAccepted: (job, event) => {
    job.acceptedAtMs ??= event.atMs;
    job.queue = textOf(event, 'queue');
    job.customer = textOf(event, 'customer');
  },
  jobLearnt: (job, event) => {
    job.learntAtMs ??= event.atMs;
  },
  jobCancelled: (job, event) => {
    job.cancelledAtMs ??= event.atMs;
  },
  waits: (job, event) => {
    const group = groupOf(job, textOf(event, 'group'));
    group.openWaits.push({ atMs: event.atMs, reason: textOf(event, 'reason') });
  },
  placed: notePlaced,
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
  runEnded: (job, event) => {
    const run = runOf(job, event);
    if (run === undefined) return;
    run.endedAtMs ??= event.atMs;
    run.how ??= textOf(event, 'how');
    const isKept = run.how === 'done' || textOf(event, 'checkpointing') === 'true';
    const coreMs = numberOf(event, 'heldMs') * numberOf(event, 'cores');
    if (!isKept && !Number.isNaN(coreMs)) run.thrownAwayCoreSeconds = coreMs / 1000;
  },
  jobEnded: noteEnd,
};

/**
 * @param event - one event
 * @returns whether a history takes note of it
 */
export const isNoted = ({ event }: logLines.LogEvent): boolean => Object.hasOwn(NOTES, event);

/** The fields that a history reads. */
export const NOTED_FIELDS: ReadonlySet<string> = new Set([
  'job',
  'task',
  'group',
  'run',
  'away',
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
 * @param events - events that name it, in the order of time
 * @param terms - who led when
 * @returns its life
 */
export const foldHistory = (
  jobId: string,
  events: Iterable<logLines.LogEvent>,
  { isOutdated }: leaderTerms.Terms,
): JobHistory => {
  let job: JobHistory | undefined;
  for (const event of events) {
    job ??= createHistory(jobId, event.atMs);
    if (isNoted(event) && !isOutdated(event)) NOTES[event.event]?.(job, event);
  }
  return job ?? createHistory(jobId, 0);
};
