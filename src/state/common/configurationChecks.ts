/**
 * What the schema can't say of the configuration document: its parts must agree with each other.
 * Each complaint names the path, the value and what is expected.
 */
import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as configuration from './configuration.js';
import * as configurationPacking from './configurationPacking.js';

type Path = readonly (string | number)[];
type Document = configuration.ConfigurationDocument;

const issue = (path: Path, message: string): schemaIssues.FieldIssue => ({
  path,
  field: schemaIssues.formatPath(path),
  message,
});

const show = (value: unknown): string => JSON.stringify(value);

const duplicates = (
  list: string,
  key: string,
  ids: readonly string[],
): readonly schemaIssues.FieldIssue[] =>
  ids.flatMap((id, index) => {
    const first = ids.indexOf(id);
    return first === index
      ? []
      : [
          issue(
            [list, index, key],
            `${show(id)} is taken by ${list}[${first}]; a unique id expected`,
          ),
        ];
  });

const uniqueIds = (document: Document): readonly schemaIssues.FieldIssue[] => [
  ...duplicates(
    'customers',
    'customerId',
    document.customers.map((it) => it.customerId),
  ),
  ...duplicates(
    'shapes',
    'shapeId',
    document.shapes.map((it) => it.shapeId),
  ),
  ...duplicates(
    'rules',
    'ruleId',
    document.rules.map((it) => it.ruleId),
  ),
  ...duplicates(
    'cells',
    'cell',
    document.cells.map((it) => it.cell),
  ),
  ...duplicates(
    'objectives',
    'objectiveId',
    document.objectives.map((it) => it.objectiveId),
  ),
];

const references = (document: Document): readonly schemaIssues.FieldIssue[] => {
  const customers = new Set(document.customers.map((it) => it.customerId));
  const cells = new Set(document.cells.map((it) => it.cell));
  const known = (path: Path, id: string, ids: ReadonlySet<string>, what: string) => {
    if (ids.has(id)) return [];
    const expected = ids.size === 0 ? 'none is defined' : [...ids].join(', ');
    return [issue(path, `${show(id)} is not a ${what}; expected one of: ${expected}`)];
  };
  return [
    ...document.shapes.flatMap((it, index) => [
      ...known(['shapes', index, 'customerId'], it.customerId, customers, 'customer'),
      ...known(['shapes', index, 'cell'], it.cell, cells, 'cell'),
    ]),
    ...document.rules.flatMap((it, index) => [
      ...it.customerIds.flatMap((id, at) =>
        known(['rules', index, 'customerIds', at], id, customers, 'customer'),
      ),
      ...it.cells.flatMap((id, at) => known(['rules', index, 'cells', at], id, cells, 'cell')),
    ]),
    ...document.objectives.flatMap((it, index) =>
      known(['objectives', index, 'customerId'], it.customerId, customers, 'customer'),
    ),
  ];
};

const repeatedInRules = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.rules.flatMap((rule, index) =>
    (['customerIds', 'cells'] as const).flatMap((list) =>
      rule[list].flatMap((id, at) =>
        rule[list].indexOf(id) === at
          ? []
          : [issue(['rules', index, list, at], `${show(id)} stands twice; each id once expected`)],
      ),
    ),
  );

const shapeFits = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.shapes.flatMap((shape, index) => {
    const cell = document.cells.find((it) => it.cell === shape.cell);
    if (cell === undefined) return [];
    const most = configurationPacking.largestShape(cell, shape.adjacency);
    if (shape.accelerators <= most) return [];
    const where = `one ${shape.adjacency} of cell ${cell.cell}`;
    return [
      issue(
        ['shapes', index, 'accelerators'],
        `${shape.accelerators} given, at most ${most} expected: ${where} has no more`,
      ),
    ];
  });

const cellsHold = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.cells.flatMap((cell, index) => {
    const shapes = document.shapes.filter((it) => it.cell === cell.cell);
    if (configurationPacking.canHold(cell, shapes)) return [];
    const wanted = configurationPacking.acceleratorsOf(shapes);
    const capacity = cell.workers * cell.acceleratorsPerWorker;
    const ids = shapes.map((it) => it.shapeId).join(', ');
    return [
      issue(
        ['cells', index],
        `${show(cell.cell)} has ${capacity} accelerators, and shapes of ${wanted} (${ids}) don't ` +
          'fit together with their adjacency; fewer or smaller shapes, or more workers, expected',
      ),
    ];
  });

const quotasHold = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.customers.flatMap((customer, index) => {
    const shapes = document.shapes.filter((it) => it.customerId === customer.customerId);
    const held = configurationPacking.acceleratorsOf(shapes);
    if (held <= customer.quotaAccelerators) return [];
    return [
      issue(
        ['customers', index, 'quotaAccelerators'],
        `${customer.quotaAccelerators} given, at least ${held} expected: its shapes hold as many`,
      ),
    ];
  });

const slotsAddUp = (document: Document): readonly schemaIssues.FieldIssue[] => {
  const { slotsPerUpstream } = document.routing;
  const guaranteed = document.customers.reduce((sum, it) => sum + it.guaranteedSlots, 0);
  if (slotsPerUpstream === undefined || guaranteed <= slotsPerUpstream) return [];
  return [
    issue(
      ['routing', 'slotsPerUpstream'],
      `${slotsPerUpstream} given, at least ${guaranteed} expected: the customers' guaranteed ` +
        'slots add up to as many',
    ),
  ];
};

const objectivesAgree = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.objectives.flatMap((it, index) => {
    const isRefusal = it.kind === configuration.ObjectiveKind.notRefused;
    const path = ['objectives', index, 'thresholdMs'];
    if (isRefusal && it.thresholdMs !== 0) {
      return [issue(path, `${it.thresholdMs} given, 0 expected for kind notRefused`)];
    }
    if (!isRefusal && it.thresholdMs === 0) {
      return [issue(path, `0 given, at least 1 expected for kind ${it.kind}`)];
    }
    return [];
  });

const startNeedsShape = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.objectives.flatMap((it, index) => {
    const isStart = it.kind === configuration.ObjectiveKind.startWithin;
    const holdsShape = document.shapes.some((shape) => shape.customerId === it.customerId);
    if (!isStart || holdsShape) return [];
    const message = `${show(it.customerId)} holds no shape; startWithin expects one with a shape`;
    return [issue(['objectives', index, 'customerId'], message)];
  });

const RULES = [
  uniqueIds,
  references,
  repeatedInRules,
  shapeFits,
  cellsHold,
  quotasHold,
  slotsAddUp,
  objectivesAgree,
  startNeedsShape,
];

/**
 * @param document - a document that its schema accepts
 * @returns every complaint about how its parts agree
 */
export const checkDocument = (document: Document): readonly schemaIssues.FieldIssue[] =>
  RULES.flatMap((rule) => rule(document));

const MAX_SHOWN = 80;

const valueAt = (input: unknown, path: Path): unknown =>
  path.reduce<unknown>(
    (value, key) => (value as Record<string, unknown> | undefined)?.[key],
    input,
  );

/** The schema's complaints tell what is expected; this adds what is there. */
const withValue = (input: unknown, it: schemaIssues.FieldIssue): schemaIssues.FieldIssue => {
  const value = valueAt(input, it.path);
  if (value === undefined || it.message.includes(', got ')) return it;
  const text = typeof value === 'number' ? String(value) : show(value);
  return { ...it, message: `${it.message}, got ${text.slice(0, MAX_SHOWN)}` };
};

/**
 * @param input - what came from outside
 * @returns the document, or every complaint: the schema's, or else those across fields
 */
export const decodeDocument = (input: unknown): schemaIssues.Decoded<Document> => {
  const decoded = schemaIssues.decode(configuration.ConfigurationDocument, input);
  if (!decoded.isValid) {
    return { isValid: false, issues: decoded.issues.map((it) => withValue(input, it)) };
  }
  const issues = checkDocument(decoded.value);
  return issues.length === 0 ? decoded : { isValid: false, issues };
};

/**
 * @param issues - complaints
 * @returns the refusal that names them all
 */
export const refusal = (issues: readonly schemaIssues.FieldIssue[]): errors.AuburnliftError => {
  const text = issues.map((it) => `${it.field}: ${it.message}`).join('; ');
  return errors.fail('invalidRequest', `configuration refused, nothing was written: ${text}`, {
    field: issues[0]?.field ?? '(document)',
    facts: { issues: issues.map(({ field, message }) => ({ field, message })) },
  });
};

/**
 * @param document - a document that its schema accepts
 * @throws AuburnliftError `invalidRequest` with all complaints in its facts
 */
export const assertDocument = (document: Document): void => {
  const issues = checkDocument(document);
  if (issues.length > 0) throw refusal(issues);
};
