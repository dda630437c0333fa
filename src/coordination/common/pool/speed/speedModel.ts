/**
 * Separates how fast workers are from how much work their tasks have.
 *
 * The logarithm of a task's time is modelled as the work of its step, plus the worker's lasting speed, plus noise. Tasks
 * of one step on several workers tell most; a step that ran on one worker only tells as much as its declared work is
 * worth. Noise has a heavy tail: a few tasks take several times as long as their siblings, and a worker may be slow for
 * some seconds, so an observation far from the others counts little.
 */

/** How long one task took on one worker, in logarithms. */
export interface TimedTask {
  /** Identifies the step of one occurrence. */
  readonly stepKey: number;
  /** Logarithm of its time in milliseconds, converted to local data. */
  readonly logTime: number;
  /** Logarithm of its time as expected on a worker of mean speed. */
  readonly logExpected: number;
}

/** Estimated logarithm of a worker's factor: above 0 it takes longer than a worker of mean speed. */
export interface SpeedEstimate {
  readonly logFactor: number;
  readonly variance: number;
}

/** One worker as input of the model. */
export interface ObservedWorker {
  readonly tasks: readonly TimedTask[];
  /** Estimated by a previous leader; absent where there is none. */
  readonly earlier?: SpeedEstimate | undefined;
}

/** Variances that the model has learnt of a pool. */
export interface Spread {
  /** Of the factors of its workers. */
  readonly ofWorkers: number;
  /** Of the tasks of one step. */
  readonly ofTasks: number;
  /** Of the work of steps about what was expected. */
  readonly ofSteps: number;
}

/** The model of a pool's workers. */
export interface SpeedModel {
  readonly spread: Spread;
  readonly estimates: ReadonlyMap<string, SpeedEstimate>;
}

/**
 * Before anything is observed: workers and the tasks of one step differ by a third, declared work by half. With a smaller
 * spread of workers the first slow one would pass for a tail of its tasks, and so would all others after it.
 */
const INITIAL_SPREAD: Spread = { ofWorkers: 0.1, ofTasks: 0.09, ofSteps: 0.25 };

/** The model of a pool of which nothing is known. */
export const UNKNOWN_MODEL: SpeedModel = { spread: INITIAL_SPREAD, estimates: new Map() };

/** The initial spread weighs as much as this many observed workers, tasks or steps. */
const INITIAL_WEIGHT = 4;

/** Least variances: with zero an estimate could never change again. */
const MIN_SPREAD: Spread = { ofWorkers: 1e-4, ofTasks: 0.01, ofSteps: 0.01 };

/** Degrees of freedom of the noise: few, for a heavy tail. */
const TAIL = 4;

/** Least weight of a task, so that its inverse is finite. */
const MIN_WEIGHT = 1e-3;

/** Rounds over steps and workers; each starts from the estimates of the last solution, which changes little. */
const ROUNDS = 5;

/** The mean over workers is drawn to zero by this much, since a few observed workers don't show a pool's mean. */
const CENTER_WEIGHT = 2;

/** Mutable state of one solution. */
interface Draft {
  readonly workers: readonly DraftWorker[];
  readonly steps: readonly DraftStep[];
}

interface DraftWorker {
  readonly id: string;
  readonly earlier: SpeedEstimate | undefined;
  readonly tasks: DraftTask[];
  logFactor: number;
  precision: number;
}

interface DraftTask {
  readonly worker: DraftWorker;
  readonly step: DraftStep;
  readonly logTime: number;
  weight: number;
}

interface DraftStep {
  readonly tasks: DraftTask[];
  logExpected: number;
  logWork: number;
  /** Of the work, with the declared one. */
  precision: number;
}

const createDraft = (
  observed: ReadonlyMap<string, ObservedWorker>,
  known: ReadonlyMap<string, SpeedEstimate>,
): Draft => {
  const workers: DraftWorker[] = [];
  const steps = new Map<number, DraftStep>();
  for (const [id, { tasks, earlier }] of observed) {
    const logFactor = (known.get(id) ?? earlier)?.logFactor ?? 0;
    const worker: DraftWorker = { id, earlier, tasks: [], logFactor, precision: 0 };
    for (const { stepKey, logTime, logExpected } of tasks) {
      const step = steps.get(stepKey) ?? { tasks: [], logExpected: 0, logWork: 0, precision: 0 };
      const task = { worker, step, logTime, weight: 1 };
      step.logExpected += (logExpected - step.logExpected) / (step.tasks.length + 1);
      step.tasks.push(task);
      steps.set(stepKey, step);
      worker.tasks.push(task);
    }
    workers.push(worker);
  }
  for (const step of steps.values()) step.logWork = step.logExpected;
  return { workers, steps: [...steps.values()] };
};

const residualOf = ({ worker, step, logTime }: DraftTask): number =>
  logTime - step.logWork - worker.logFactor;

/** Weight of a task by how far it is from what its step and its worker make expect; 1 where it fits. */
const weightOf = (residual: number, variance: number): number =>
  TAIL / (TAIL + (residual * residual) / variance);

const fitSteps = (steps: readonly DraftStep[], spread: Spread): void => {
  for (const step of steps) {
    let sum = step.logExpected / spread.ofSteps;
    let precision = 1 / spread.ofSteps;
    for (const task of step.tasks) {
      task.weight = weightOf(residualOf(task), spread.ofTasks);
      const weight = task.weight / spread.ofTasks;
      sum += weight * (task.logTime - task.worker.logFactor);
      precision += weight;
    }
    step.logWork = sum / precision;
    step.precision = precision;
  }
};

/** What a task tells of its worker; less, the fewer others tell of its step's work. */
const precisionOfTask = ({ step, weight }: DraftTask, spread: Spread): number => {
  const others = step.precision - weight / spread.ofTasks;
  return 1 / (spread.ofTasks / Math.max(weight, MIN_WEIGHT) + 1 / others);
};

const fitWorkers = (workers: readonly DraftWorker[], spread: Spread): void => {
  for (const worker of workers) {
    const { earlier, tasks } = worker;
    const earlierPrecision = earlier === undefined ? 0 : 1 / earlier.variance;
    let sum = earlierPrecision * (earlier?.logFactor ?? 0);
    let weights = earlierPrecision + 1 / spread.ofWorkers;
    worker.precision = weights;
    for (const task of tasks) {
      const weight = task.weight / spread.ofTasks;
      sum += weight * (task.logTime - task.step.logWork);
      weights += weight;
      worker.precision += precisionOfTask(task, spread);
    }
    worker.logFactor = sum / weights;
  }
};

/** A pool's workers have mean factor 1: whatever slows all of them counts as work. */
const center = (workers: readonly DraftWorker[], spread: Spread): void => {
  const shareOf = ({ precision }: DraftWorker): number => 1 - 1 / (precision * spread.ofWorkers);
  const weight = workers.reduce((sum, it) => sum + shareOf(it), 0);
  const total = workers.reduce((sum, it) => sum + shareOf(it) * it.logFactor, 0);
  const mean = total / (weight + CENTER_WEIGHT);
  for (const worker of workers) worker.logFactor -= mean;
};

const learnSpread = ({ workers, steps }: Draft): Spread => {
  const sums = { ofWorkers: 0, ofTasks: 0, ofSteps: 0 };
  const counts = { ofWorkers: 0, ofTasks: 0, ofSteps: 0 };
  for (const { logFactor, precision, tasks, earlier } of workers) {
    if (tasks.length > 0 || earlier !== undefined) {
      sums.ofWorkers += logFactor ** 2 + 1 / precision;
      counts.ofWorkers += 1;
    }
  }
  for (const step of steps) {
    if (step.tasks.length > 1) {
      sums.ofSteps += (step.logWork - step.logExpected) ** 2;
      counts.ofSteps += 1;
      for (const task of step.tasks) sums.ofTasks += task.weight * residualOf(task) ** 2;
      counts.ofTasks += step.tasks.length - 1;
    }
  }
  const learn = (name: keyof Spread): number =>
    Math.max(
      MIN_SPREAD[name],
      (INITIAL_WEIGHT * INITIAL_SPREAD[name] + sums[name]) / (INITIAL_WEIGHT + counts[name]),
    );
  return { ofWorkers: learn('ofWorkers'), ofTasks: learn('ofTasks'), ofSteps: learn('ofSteps') };
};

/**
 * @param observed - workers with what was observed of them
 * @param known - the model so far; the solution starts from it
 * @returns the model of these workers
 */
export const solve = (
  observed: ReadonlyMap<string, ObservedWorker>,
  known: SpeedModel,
): SpeedModel => {
  const draft = createDraft(observed, known.estimates);
  let { spread } = known;
  for (let round = 0; round < ROUNDS; round += 1) {
    fitSteps(draft.steps, spread);
    fitWorkers(draft.workers, spread);
    center(draft.workers, spread);
    spread = learnSpread(draft);
  }
  const estimates = new Map(
    draft.workers.map(({ id, logFactor, precision }): [string, SpeedEstimate] => [
      id,
      { logFactor, variance: 1 / precision },
    ]),
  );
  return { spread, estimates };
};
