/**
 * What the logs say of each job's life: when it was accepted and learnt, each run of its groups, each
 * reason to wait, its end. A group is what starts and ends together: a gang, or one task.
 */
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
  /** Every line that names it. */
  readonly events: logLines.LogEvent[];
}

/** A span of time. */
export interface Span {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** What the logs tell. */
export interface Histories {
  readonly jobs: ReadonlyMap<string, JobHistory>;
  /** Times at which nobody led. */
  readonly leaderless: readonly Span[];
  /** Time of the last line. */
  readonly lastAtMs: number;
}

/** `JOB.OCCURRENCE.STEP` or `JOB.OCCURRENCE.STEP.INDEX`. */
const nameParts = (name: string): readonly string[] => name.split('.');

const textOf = ({ fields }: logLines.LogEvent, name: string): string => fields.get(name) ?? '';

const numberOf = (event: logLines.LogEvent, name: string): number =>
  Number(event.fields.get(name) ?? Number.NaN);

/** The job that a line names, by itself or by the name of a task or a group. */
const jobIdOf = (event: logLines.LogEvent): string | undefined => {
  const { fields } = event;
  const named = fields.get('job') ?? fields.get('task') ?? fields.get('group');
  return named === undefined ? undefined : nameParts(named)[0];
};

const createHistory = (jobId: string): JobHistory => ({
  jobId,
  queue: '',
  customer: '',
  acceptedAtMs: undefined,
  learntAtMs: undefined,
  cancelledAtMs: undefined,
  groups: new Map(),
  end: undefined,
  events: [],
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

/** Follows who leads: a term ends with its own word, or with its process's last line before the next. */
const createTerms = () => {
  const leaderless: Span[] = [];
  let leader = '';
  let lastLineAtMs = 0;
  let hasEnded = true;
  let vacantFromMs: number | undefined;
  return {
    leaderless,
    /** One that leads no more, and has not heard of it, goes on telling what it believes. */
    isOutdated: ({ role, node }: logLines.LogEvent): boolean =>
      role === 'scheduler' && leader !== '' && node !== leader,
    note: ({ atMs, event, role, node }: logLines.LogEvent): void => {
      if (role !== 'scheduler') return;
      if (event === 'loaded') {
        const fromMs = vacantFromMs ?? (hasEnded ? undefined : lastLineAtMs);
        if (fromMs !== undefined && atMs > fromMs) leaderless.push({ fromMs, untilMs: atMs });
        leader = node;
        hasEnded = false;
        vacantFromMs = undefined;
        lastLineAtMs = atMs;
        return;
      }
      if (node !== leader || hasEnded) return;
      const isNewLife = event === 'started';
      if (isNewLife || event === 'leadershipLost' || event === 'stopping') {
        hasEnded = true;
        vacantFromMs = isNewLife ? lastLineAtMs : atMs;
      }
      lastLineAtMs = atMs;
    },
  };
};

/**
 * @param logs - collected logs
 * @returns the jobs' lives and when nobody led
 */
export const collectHistories = ({ events }: logLines.CollectedLogs): Histories => {
  const jobs = new Map<string, JobHistory>();
  const terms = createTerms();
  for (const event of events) {
    terms.note(event);
    const jobId = jobIdOf(event);
    if (jobId !== undefined && jobId !== '') {
      const job = jobs.get(jobId) ?? createHistory(jobId);
      jobs.set(jobId, job);
      job.events.push(event);
      if (!terms.isOutdated(event)) NOTES[event.event]?.(job, event);
    }
  }
  return { jobs, leaderless: terms.leaderless, lastAtMs: events.at(-1)?.atMs ?? 0 };
};
