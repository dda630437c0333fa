/**
 * What a change of the configuration changes, and what it does to work that runs.
 */
import * as configurationPacking from './configurationPacking.js';
import type * as configuration from './configuration.js';
import * as job from './job.js';

type Document = configuration.ConfigurationDocument;

/** One field that differs. */
export interface DocumentChange {
  /** Path with ids in place of indexes, `shapes[pump-plan].count`. */
  readonly path: string;
  /** As JSON; undefined where it was not there. */
  readonly before: string | undefined;
  readonly after: string | undefined;
}

/** How much an effect matters. */
export const EffectLevel = {
  note: 'note',
  /** Running guaranteed work loses its guarantee: needs the author's consent. */
  strands: 'strands',
  /** It could not be found out, because a cell did not answer. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link EffectLevel}. */
export type EffectLevel = (typeof EffectLevel)[keyof typeof EffectLevel];

/** What a change does besides its difference. */
export interface ChangeEffect {
  readonly level: EffectLevel;
  /** One sentence for people. */
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

/** Leaves by path; a list of items with ids is keyed by them, so that an insertion moves nothing. */
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
 * @param before - the older document, undefined before the first
 * @param after - the newer one
 * @returns the fields that differ, in the order of the newer document, removed ones last
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

const describe = (record: job.JobRecord): string =>
  `guaranteed job ${record.spec.jobId} of ${record.spec.customerId} (${record.state}) in ${
    record.spec.cell
  }`;

const strandedBy = (record: job.JobRecord, after: Document): string | undefined => {
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

const strandedByCount = (
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

const strandings = (after: Document, jobs: readonly job.JobRecord[]): readonly ChangeEffect[] => {
  const lost = jobs.flatMap((record) => {
    const why = strandedBy(record, after);
    if (why === undefined) return [];
    return [
      { level: EffectLevel.strands, text: `${describe(record)} loses its guarantee: ${why}` },
    ];
  });
  return [...lost, ...strandedByCount(after, jobs)];
};

const guaranteeNotes = (before: Document | undefined, after: Document): readonly ChangeEffect[] =>
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
 * @param before - document in force
 * @param after - document that is asked for
 * @param jobs - jobs of the cells that answered
 * @param unansweredCells - cells whose leader did not answer
 * @returns what operators must know before they agree
 */
export const effectsOf = (
  before: Document | undefined,
  after: Document,
  jobs: readonly job.JobRecord[],
  unansweredCells: readonly string[],
): readonly ChangeEffect[] => [
  ...strandings(after, runningGuaranteed(jobs)),
  ...unansweredCells.map((cell) => ({
    level: EffectLevel.unknown,
    text: `cell ${cell} does not answer, so its running jobs are not known`,
  })),
  ...guaranteeNotes(before, after),
];
