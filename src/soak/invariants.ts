/**
 * Invariants that must hold under all faults, checked against what callers and workers observed. Each check
 * is a pure function from the evidence to the violations it finds.
 */
import * as poolWorker from '../state/common/pool/poolWorker.js';
import * as evidence from './evidence.js';

/** Finds violations of one invariant. */
export type Check = (seen: evidence.Evidence) => string[];

/** A call cut this soon after it was sent may have crossed the server's close of the connection. */
const CLOSE_RACE_MS = 200;

/** A fault that ended this recently before a call may still have cut it. */
const AFTERMATH_MS = 1500;

const REFUSALS = new Set([400, 401, 404, 429, 503]);

const runsByTask = (seen: evidence.Evidence): Map<string, evidence.WorkerRun[]> => {
  const byTask = new Map<string, evidence.WorkerRun[]>();
  for (const run of [...seen.runs].sort((a, b) => a.startedAtMs - b.startedAtMs)) {
    byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
  }
  return byTask;
};

const isDone = (run: evidence.WorkerRun): boolean => run.how === 'done';

const noConcurrentRuns: Check = (seen) =>
  [...runsByTask(seen)].flatMap(([task, runs]) =>
    runs.slice(1).flatMap((run, index) => {
      const before = runs[index];
      const endedAtMs = before?.endedAtMs ?? Infinity;
      return run.startedAtMs < endedAtMs
        ? [`${task}: run ${run.run} began while run ${String(before?.run)} worked`]
        : [];
    }),
  );

const noRunAfterDone: Check = (seen) =>
  [...runsByTask(seen)].flatMap(([task, runs]) => {
    // An end whose worker's lease expired before its acknowledgement promises nothing.
    const done = runs.find((it) => isDone(it) && it.isAcknowledged && !it.hasLapsedSince);
    const again = runs.find((it) => done !== undefined && it.startedAtMs > (done.endedAtMs ?? 0));
    return again === undefined ? [] : [`${task}: run ${again.run} began after the task was done`];
  });

const noRunAfterRefusal: Check = (seen) =>
  seen.jobs.flatMap(({ jobId }) => {
    const submits = seen.calls.filter((it) => it.method === 'POST' && it.jobId === jobId);
    const isRefused = submits.every(
      (it) => it.end === evidence.CallEnd.notSent || REFUSALS.has(it.status),
    );
    const hasRun = seen.runs.some((it) => it.task.startsWith(`${jobId}.`));
    return isRefused && hasRun
      ? [`${jobId}: ran, although every attempt to hand it in was refused`]
      : [];
  });

const acceptedAtMs = (seen: evidence.Evidence, jobId: string): number => {
  const accepted = seen.calls.find(
    (it) => it.method === 'POST' && it.jobId === jobId && it.status === 200,
  );
  return accepted?.endedAtMs ?? Infinity;
};

const noAcceptedJobLost: Check = (seen) =>
  seen.calls
    .filter((it) => it.status === 410 && it.sentAtMs > acceptedAtMs(seen, it.jobId))
    .map((it) => `${it.jobId}: ${it.method} reports that there is no such job`);

const tasksOf = (job: evidence.SubmittedJob): string[] =>
  job.steps.flatMap((step, stepIndex) =>
    Array.from({ length: step.count }, (_, index) =>
      poolWorker.formatTaskName({ jobId: job.jobId, occurrence: 0, step: stepIndex, index }),
    ),
  );

/** Number of failed runs of each task, or of each gang, whose members fail together. */
const failuresOf = (
  job: evidence.SubmittedJob,
  ended: readonly evidence.WorkerRun[],
): readonly number[] => {
  const failedRuns = new Map<string, Set<number>>();
  for (const { task, run, how } of ended) {
    const name = poolWorker.parseTaskName(task);
    if (how !== 'failed' || name?.jobId !== job.jobId) continue;
    const isGang = job.steps[name.step]?.isGang === true;
    const group = isGang ? `gang of step ${name.step}` : task;
    failedRuns.set(group, (failedRuns.get(group) ?? new Set()).add(run));
  }
  return [...failedRuns.values()].map((it) => it.size);
};

const reportedStatesMatchRuns: Check = (seen) => {
  const byTask = runsByTask(seen);
  const jobs = new Map(seen.jobs.map((it) => [it.jobId, it]));
  const countRuns = (task: string, matches: (run: evidence.WorkerRun) => boolean): number =>
    (byTask.get(task) ?? []).filter(matches).length;
  return seen.calls.flatMap((call) => {
    const job = jobs.get(call.jobId);
    if (job === undefined) return [];
    const endedBefore = (run: evidence.WorkerRun): boolean =>
      (run.endedAtMs ?? Infinity) <= call.endedAtMs;
    if (call.state === 'complete') {
      const open = tasksOf(job).find(
        (task) => countRuns(task, (it) => isDone(it) && endedBefore(it)) === 0,
      );
      return open === undefined ? [] : [`${job.jobId}: shown as complete before ${open} was done`];
    }
    if (call.state !== 'failed') return [];
    const failures = failuresOf(job, seen.runs.filter(endedBefore));
    const hasCause = failures.some((count) => count >= seen.attempts);
    return hasCause ? [] : [`${job.jobId}: shown as failed without ${seen.attempts} failed runs`];
  });
};

/** Jobs of which no task had started when the call ended, and which were accepted long before it. */
const waitingAt = (
  seen: evidence.Evidence,
  { sentAtMs, endedAtMs }: evidence.CallRecord,
): readonly string[] => {
  const begun = new Set(
    seen.runs
      .filter((it) => it.startedAtMs <= endedAtMs)
      .map((it) => poolWorker.parseTaskName(it.task)?.jobId),
  );
  const cancelled = new Set(
    seen.calls.filter((it) => it.method === 'DELETE').map((it) => it.jobId),
  );
  return seen.jobs
    .map((it) => it.jobId)
    .filter((jobId) => acceptedAtMs(seen, jobId) < sentAtMs - seen.visibleMs)
    .filter((jobId) => !begun.has(jobId) && !cancelled.has(jobId));
};

const waitingJobsArePending: Check = (seen) =>
  seen.calls.flatMap((call) => {
    if (call.pending === undefined) return [];
    const waiting = waitingAt(seen, call);
    return call.pending >= waiting.length
      ? []
      : [`${call.entry}: ${call.pending} jobs pending while ${waiting.join(', ')} had not started`];
  });

const acceptedJobsEnd: Check = (seen) =>
  seen.jobs.flatMap(({ jobId }) => {
    if (acceptedAtMs(seen, jobId) === Infinity) return [];
    const states = seen.calls.filter((it) => it.jobId === jobId && it.state !== undefined);
    const last = states.at(-1)?.state;
    const hasEnded = last === 'complete' || last === 'failed' || last === 'cancelled';
    return hasEnded ? [] : [`${jobId}: accepted, but still ${String(last)} long after the faults`];
  });

const noRunLeftOver: Check = (seen) =>
  seen.runs
    .filter((it) => it.how === undefined)
    .map((it) => `${it.task}: run ${it.run} still works though its job has ended`);

const stepsInOrder: Check = (seen) => {
  const byTask = runsByTask(seen);
  return seen.jobs.flatMap((job) =>
    job.steps.flatMap((step, stepIndex) => {
      const startsMs = tasksOf(job)
        .filter((task) => poolWorker.parseTaskName(task)?.step === stepIndex)
        .flatMap((task) => (byTask.get(task) ?? []).map((it) => it.startedAtMs));
      const firstMs = Math.min(...startsMs);
      const open = tasksOf(job).find((task) => {
        const before = poolWorker.parseTaskName(task)?.step ?? 0;
        if (!step.after.includes(before)) return false;
        const ends = (byTask.get(task) ?? []).filter(isDone).map((it) => it.endedAtMs ?? Infinity);
        return firstMs < Math.min(...ends);
      });
      return open === undefined ? [] : [`${job.jobId}: step ${stepIndex} began before ${open}`];
    }),
  );
};

const withinCapacity: Check = (seen) => {
  const jobs = new Map(seen.jobs.map((it) => [it.jobId, it]));
  const acceleratorsOf = ({ task }: evidence.WorkerRun): number => {
    const name = poolWorker.parseTaskName(task);
    return jobs.get(name?.jobId ?? '')?.steps[name?.step ?? 0]?.accelerators ?? 0;
  };
  return seen.runs.flatMap((run) => {
    const used = seen.runs
      .filter((it) => it.workerIndex === run.workerIndex && it.startedAtMs <= run.startedAtMs)
      .filter((it) => (it.endedAtMs ?? Infinity) > run.startedAtMs)
      .reduce((sum, it) => sum + acceleratorsOf(it), 0);
    return used <= seen.acceleratorsPerWorker
      ? []
      : [`${run.task}: its start brings worker ${run.workerIndex} to ${used} accelerators`];
  });
};

const payloadsAsSubmitted: Check = (seen) => {
  const payloads = new Map(seen.jobs.map((it) => [it.jobId, it.payload]));
  return seen.runs
    .filter((it) => it.payload !== payloads.get(poolWorker.parseTaskName(it.task)?.jobId ?? ''))
    .map((it) => `${it.task}: started with something that nobody handed in`);
};

const revokedKeysAreRefused: Check = (seen) =>
  seen.calls.flatMap((call) => {
    const revoked = seen.revocations.find((it) => it.apiKey === call.apiKey);
    if (revoked === undefined) {
      return call.status === 401 ? [`${call.jobId}: a valid key was refused at ${call.entry}`] : [];
    }
    const isLate = call.sentAtMs > revoked.atMs + seen.revokeMs;
    const isServed = call.status >= 200 && call.status < 300;
    return isLate && isServed ? [`${call.entry}: served a key that was taken away`] : [];
  });

const noCallCutByPlannedStop: Check = (seen) =>
  seen.calls
    .filter((it) => it.end === evidence.CallEnd.cut && it.endedAtMs - it.sentAtMs > CLOSE_RACE_MS)
    .filter((call) =>
      seen.disturbances.every(
        (it) =>
          it.entry !== call.entry ||
          it.untilMs + AFTERMATH_MS < call.sentAtMs ||
          it.fromMs > call.endedAtMs,
      ),
    )
    .map((it) => `${it.entry}: cut off ${it.method} ${it.jobId} during a planned stop`);

/** Orders that the worker executes late are no starts of the system. */
const noStartInEvacuatedZone: Check = (seen) =>
  seen.evacuations.flatMap(({ zone, fromMs, untilMs }) =>
    seen.runs
      .filter((it) => it.zone === zone && !it.isLate)
      .filter((it) => it.startedAtMs > fromMs + seen.evacuateMs && it.startedAtMs < untilMs)
      .map((it) => `${it.task}: run ${it.run} began in ${zone}, which was evacuated`),
  );

const noUnexpectedExit: Check = (seen) => [...seen.failures];

const CHECKS: readonly Check[] = [
  noConcurrentRuns,
  noRunAfterDone,
  noRunAfterRefusal,
  noAcceptedJobLost,
  reportedStatesMatchRuns,
  waitingJobsArePending,
  acceptedJobsEnd,
  noRunLeftOver,
  stepsInOrder,
  withinCapacity,
  payloadsAsSubmitted,
  revokedKeysAreRefused,
  noCallCutByPlannedStop,
  noStartInEvacuatedZone,
  noUnexpectedExit,
];

/** Checks every invariant. */
export const findViolations: Check = (seen) => CHECKS.flatMap((check) => check(seen));
