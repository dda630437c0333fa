/**
 * Consistency checks of the configuration document that the schema can't express.
 * Each issue names the path, the value and what is expected.
 */
import * as errors from '../../base/common/errors.js';
import * as schemaIssues from '../../base/common/schemaIssues.js';
import * as configuration from './configuration.js';
import * as configurationPacking from './configurationPacking.js';

type Path = readonly (string | number)[];
type Document = configuration.ConfigurationDocument;

const createIssue = (path: Path, message: string): schemaIssues.FieldIssue => ({
  path,
  field: schemaIssues.formatPath(path),
  message,
});

const formatValue = (value: unknown): string => JSON.stringify(value);

const findDuplicates = (
  list: string,
  key: string,
  ids: readonly string[],
): readonly schemaIssues.FieldIssue[] =>
  ids.flatMap((id, index) => {
    const first = ids.indexOf(id);
    return first === index
      ? []
      : [
          createIssue(
            [list, index, key],
            `${formatValue(id)} is taken by ${list}[${first}]; a unique id expected`,
          ),
        ];
  });

const checkUniqueIds = (document: Document): readonly schemaIssues.FieldIssue[] => [
  ...findDuplicates(
    'customers',
    'customerId',
    document.customers.map((it) => it.customerId),
  ),
  ...findDuplicates(
    'shapes',
    'shapeId',
    document.shapes.map((it) => it.shapeId),
  ),
  ...findDuplicates(
    'rules',
    'ruleId',
    document.rules.map((it) => it.ruleId),
  ),
  ...findDuplicates(
    'cells',
    'cell',
    document.cells.map((it) => it.cell),
  ),
  ...findDuplicates(
    'objectives',
    'objectiveId',
    document.objectives.map((it) => it.objectiveId),
  ),
];

const checkReferences = (document: Document): readonly schemaIssues.FieldIssue[] => {
  const customers = new Set(document.customers.map((it) => it.customerId));
  const cells = new Set(document.cells.map((it) => it.cell));
  const checkKnown = (path: Path, id: string, ids: ReadonlySet<string>, what: string) => {
    if (ids.has(id)) return [];
    const expected = ids.size === 0 ? 'none is defined' : [...ids].join(', ');
    return [createIssue(path, `${formatValue(id)} is not a ${what}; expected one of: ${expected}`)];
  };
  return [
    ...document.shapes.flatMap((it, index) => [
      ...checkKnown(['shapes', index, 'customerId'], it.customerId, customers, 'customer'),
      ...checkKnown(['shapes', index, 'cell'], it.cell, cells, 'cell'),
    ]),
    ...document.rules.flatMap((it, index) => [
      ...it.customerIds.flatMap((id, at) =>
        checkKnown(['rules', index, 'customerIds', at], id, customers, 'customer'),
      ),
      ...it.cells.flatMap((id, at) => checkKnown(['rules', index, 'cells', at], id, cells, 'cell')),
    ]),
    ...document.objectives.flatMap((it, index) =>
      checkKnown(['objectives', index, 'customerId'], it.customerId, customers, 'customer'),
    ),
  ];
};

const checkRepeatedIds = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.rules.flatMap((rule, index) =>
    (['customerIds', 'cells'] as const).flatMap((list) =>
      rule[list].flatMap((id, at) =>
        rule[list].indexOf(id) === at
          ? []
          : [
              createIssue(
                ['rules', index, list, at],
                `${formatValue(id)} stands twice; each id once expected`,
              ),
            ],
      ),
    ),
  );

const checkShapeSizes = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.shapes.flatMap((shape, index) => {
    const cell = document.cells.find((it) => it.cell === shape.cell);
    if (cell === undefined) return [];
    const most = configurationPacking.largestShape(cell, shape.adjacency);
    if (shape.accelerators <= most) return [];
    const where = `one ${shape.adjacency} of cell ${cell.cell}`;
    return [
      createIssue(
        ['shapes', index, 'accelerators'],
        `${shape.accelerators} given, at most ${most} expected: ${where} has no more`,
      ),
    ];
  });

const checkCellCapacity = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.cells.flatMap((cell, index) => {
    const shapes = document.shapes.filter((it) => it.cell === cell.cell);
    if (configurationPacking.canHold(cell, shapes)) return [];
    const wanted = configurationPacking.acceleratorsOf(shapes);
    const capacity = cell.workers * cell.acceleratorsPerWorker;
    const ids = shapes.map((it) => it.shapeId).join(', ');
    return [
      createIssue(
        ['cells', index],
        `${formatValue(cell.cell)} has ${capacity} accelerators, and shapes of ${wanted} (${ids}) don't ` +
          'fit together with their adjacency; fewer or smaller shapes, or more workers, expected',
      ),
    ];
  });

const checkQuotas = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.customers.flatMap((customer, index) => {
    const shapes = document.shapes.filter((it) => it.customerId === customer.customerId);
    const held = configurationPacking.acceleratorsOf(shapes);
    if (held <= customer.quotaAccelerators) return [];
    return [
      createIssue(
        ['customers', index, 'quotaAccelerators'],
        `${customer.quotaAccelerators} given, at least ${held} expected: its shapes need as many`,
      ),
    ];
  });

const checkGuaranteedSlots = (document: Document): readonly schemaIssues.FieldIssue[] => {
  const { slotsPerUpstream } = document.routing;
  const guaranteed = document.customers.reduce((sum, it) => sum + it.guaranteedSlots, 0);
  if (slotsPerUpstream === undefined || guaranteed <= slotsPerUpstream) return [];
  return [
    createIssue(
      ['routing', 'slotsPerUpstream'],
      `${slotsPerUpstream} given, at least ${guaranteed} expected: the customers' guaranteed ` +
        'slots add up to as many',
    ),
  ];
};

const checkThresholds = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.objectives.flatMap((it, index) => {
    const isRefusal = it.kind === configuration.ObjectiveKind.notRefused;
    const path = ['objectives', index, 'thresholdMs'];
    if (isRefusal && it.thresholdMs !== 0) {
      return [createIssue(path, `${it.thresholdMs} given, 0 expected for kind notRefused`)];
    }
    if (!isRefusal && it.thresholdMs === 0) {
      return [createIssue(path, `0 given, at least 1 expected for kind ${it.kind}`)];
    }
    return [];
  });

const checkStartObjectives = (document: Document): readonly schemaIssues.FieldIssue[] =>
  document.objectives.flatMap((it, index) => {
    const isStart = it.kind === configuration.ObjectiveKind.startWithin;
    const holdsShape = document.shapes.some((shape) => shape.customerId === it.customerId);
    if (!isStart || holdsShape) return [];
    const message = `${formatValue(it.customerId)} holds no shape; startWithin expects one with a shape`;
    return [createIssue(['objectives', index, 'customerId'], message)];
  });

const CHECKS = [
  checkUniqueIds,
  checkReferences,
  checkRepeatedIds,
  checkShapeSizes,
  checkCellCapacity,
  checkQuotas,
  checkGuaranteedSlots,
  checkThresholds,
  checkStartObjectives,
];

/**
 * @param document - a document that its schema accepts
 * @returns all inconsistencies between its parts
 */
export const checkDocument = (document: Document): readonly schemaIssues.FieldIssue[] =>
  CHECKS.flatMap((check) => check(document));

const MAX_SHOWN = 80;

const valueAt = (input: unknown, path: Path): unknown =>
  path.reduce<unknown>(
    (value, key) => (value as Record<string, unknown> | undefined)?.[key],
    input,
  );

/** Adds the actual value to a schema issue, which names only the expected one. */
const appendValue = (input: unknown, it: schemaIssues.FieldIssue): schemaIssues.FieldIssue => {
  const value = valueAt(input, it.path);
  if (value === undefined || it.message.includes(', got ')) return it;
  const text = typeof value === 'number' ? String(value) : formatValue(value);
  return { ...it, message: `${it.message}, got ${text.slice(0, MAX_SHOWN)}` };
};

/**
 * @param input - untrusted input
 * @returns the document, or all issues: those of the schema, or if there are none, the inconsistencies
 */
export const decodeDocument = (input: unknown): schemaIssues.Decoded<Document> => {
  const decoded = schemaIssues.decode(configuration.ConfigurationDocument, input);
  if (!decoded.isValid) {
    return { isValid: false, issues: decoded.issues.map((it) => appendValue(input, it)) };
  }
  const issues = checkDocument(decoded.value);
  return issues.length === 0 ? decoded : { isValid: false, issues };
};

/**
 * @param issues - the issues found
 * @returns the error that lists them all
 */
export const createRefusal = (
  issues: readonly schemaIssues.FieldIssue[],
): errors.AuburnliftError => {
  const text = issues.map((it) => `${it.field}: ${it.message}`).join('; ');
  return errors.fail('invalidRequest', `configuration refused, nothing was written: ${text}`, {
    field: issues[0]?.field ?? '(document)',
    facts: { issues: issues.map(({ field, message }) => ({ field, message })) },
  });
};

/**
 * @param document - a document that its schema accepts
 * @throws AuburnliftError `invalidRequest` with all issues in its facts
 */
export const assertDocument = (document: Document): void => {
  const issues = checkDocument(document);
  if (issues.length > 0) throw createRefusal(issues);
};
