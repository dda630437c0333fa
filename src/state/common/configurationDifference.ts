/**
 * Differences between two configuration documents, and their effects on running jobs.
 */
import * as configurationPacking from './configurationPacking.js';
import type * as configuration from './configuration.js';
import * as job from './job.js';

type Document = configuration.ConfigurationDocument;

/** A field that differs. */
export interface DocumentChange {
  /** Path with ids in place of indexes, for example `shapes[pump-plan].count`. */
  readonly path: string;
  /** As JSON; undefined if the field was absent. */
  readonly before: string | undefined;
  readonly after: string | undefined;
}

/** Severity of an effect. */
export const EffectLevel = {
  note: 'note',
  /** A running guaranteed job loses its guarantee: needs the author's consent. */
  strands: 'strands',
  /** The effect could not be determined, because a cell did not answer. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link EffectLevel}. */
export type EffectLevel = (typeof EffectLevel)[keyof typeof EffectLevel];

/** An effect of a configuration change on capacity or running jobs. */
export interface ChangeEffect {
  readonly level: EffectLevel;
  /** One sentence for display. */
  readonly text: string;
}

const LIST_KEYS: Readonly<Record<string, string>> = {
  customers: 'customerId',
  shapes: 'shapeId',
  rules: 'ruleId',
  cells: 'cell',
  objectives: 'objectiveId',
};

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Collects leaf values by path. Lists of items with ids are keyed by id, so that an insertion doesn't shift paths. */
const flatten = (value: unknown, path: string, leaves: Map<string, string>): void => {
  if (isRecord(value)) {
    for (const [key, child] of Object.entries(value)) {
      flatten(child, path === '' ? key : `${path}.${key}`, leaves);
    }
    return;
  }
  const idKey = LIST_KEYS[path];
  if (idKey !== undefined && Array.isArray(value)) {
    for (const item of value as Readonly<Record<string, unknown>>[]) {
      flatten(item, `${path}[${String(item[idKey])}]`, leaves);
    }
    return;
  }
  leaves.set(path, JSON.stringify(value));
};

const leavesOf = (document: Document | undefined): ReadonlyMap<string, string> => {
  const leaves = new Map<string, string>();
  if (document !== undefined) flatten(document, '', leaves);
  return leaves;
};

/**
 * @param before - the older document, undefined if there is none
 * @param after - the newer one
 * @returns the fields that differ, in the order of the newer document, then the removed ones
 */
export const compareDocuments = (
  before: Document | undefined,
  after: Document,
): readonly DocumentChange[] => {
  const old = leavesOf(before);
  const next = leavesOf(after);
  const paths = new Set([...next.keys(), ...old.keys()]);
  return [...paths]
    .map((path) => ({ path, before: old.get(path), after: next.get(path) }))
    .filter((it) => it.before !== it.after);
};

const runningGuaranteed = (jobs: readonly job.JobRecord[]): readonly job.JobRecord[] =>
  jobs.filter((it) => it.spec.claim === job.Claim.guaranteed && !job.isTerminal(it.state));

const describeJob = (record: job.JobRecord): string =>
  `guaranteed job ${record.spec.jobId} of ${record.spec.customerId} (${record.state}) in ${
    record.spec.cell
  }`;

const reasonForLostGuarantee = (record: job.JobRecord, after: Document): string | undefined => {
  const { customerId, cell, shapeId } = record.spec;
  if (!after.customers.some((it) => it.customerId === customerId)) {
    return `customer ${customerId} is gone`;
  }
  if (!after.cells.some((it) => it.cell === cell)) return `cell ${cell} is gone`;
  const shape = after.shapes.find(
    (it) => it.shapeId === shapeId && it.customerId === customerId && it.cell === cell,
  );
  if (shape === undefined) return `shape ${shapeId ?? '(none)'} is gone`;
  if (shape.accelerators < job.acceleratorsOf(record)) {
    return `shape ${shape.shapeId} shrinks to ${shape.accelerators} accelerators`;
  }
  return undefined;
};

const findExcessHolders = (
  after: Document,
  jobs: readonly job.JobRecord[],
): readonly ChangeEffect[] =>
  after.shapes.flatMap((shape) => {
    const holders = jobs.filter(
      (it) => it.spec.shapeId === shape.shapeId && it.placement.length > 0,
    );
    if (holders.length <= shape.count) return [];
    const text =
      `shape ${shape.shapeId} keeps ${shape.count} instances, and ${holders.length} guaranteed ` +
      `jobs hold one: ${holders.map((it) => it.spec.jobId).join(', ')}`;
    return [{ level: EffectLevel.strands, text }];
  });

const findLostGuarantees = (
  after: Document,
  jobs: readonly job.JobRecord[],
): readonly ChangeEffect[] => {
  const lost = jobs.flatMap((record) => {
    const why = reasonForLostGuarantee(record, after);
    if (why === undefined) return [];
    return [
      { level: EffectLevel.strands, text: `${describeJob(record)} loses its guarantee: ${why}` },
    ];
  });
  return [...lost, ...findExcessHolders(after, jobs)];
};

const describeGuaranteeChanges = (
  before: Document | undefined,
  after: Document,
): readonly ChangeEffect[] =>
  after.cells.flatMap((cell) => {
    const held = (document: Document | undefined): number =>
      configurationPacking.acceleratorsOf(
        document?.shapes.filter((it) => it.cell === cell.cell) ?? [],
      );
    const [was, is] = [held(before), held(after)];
    if (was === is) return [];
    const capacity = cell.workers * cell.acceleratorsPerWorker;
    const text =
      `cell ${cell.cell}: ${is} of ${capacity} accelerators are guaranteed (${was} before); ` +
      `${capacity - is} are free for spare jobs`;
    return [{ level: EffectLevel.note, text }];
  });

/**
 * @param before - the active document
 * @param after - the requested document
 * @param jobs - jobs of the cells that answered
 * @param unansweredCells - cells whose leader did not answer
 * @returns the effects that operators must know before they consent
 */
export const findEffects = (
  before: Document | undefined,
  after: Document,
  jobs: readonly job.JobRecord[],
  unansweredCells: readonly string[],
): readonly ChangeEffect[] => [
  ...findLostGuarantees(after, runningGuaranteed(jobs)),
  ...unansweredCells.map((cell) => ({
    level: EffectLevel.unknown,
    text: `cell ${cell} does not answer, so its running jobs are not known`,
  })),
  ...describeGuaranteeChanges(before, after),
];
