/**
 * Each consistency check has a document that it refuses, with path, value and what is expected.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as configuration from '../configuration.js';
import * as configurationChecks from '../configurationChecks.js';
import * as configurationDifference from '../configurationDifference.js';
import * as configurationPacking from '../configurationPacking.js';
import * as configurationSample from './configurationSample.js';

type Document = configuration.ConfigurationDocument;

const { SAMPLE } = configurationSample;
const [red, blue] = SAMPLE.customers as [configuration.Customer, configuration.Customer];
const [shape] = SAMPLE.shapes as [configuration.Shape];
const [rule] = SAMPLE.rules as [configuration.SpareRule];
const [objective] = SAMPLE.objectives as [configuration.Objective];

interface RefusedCase {
  readonly name: string;
  readonly part: Partial<Record<keyof Document, unknown>>;
  readonly field: string;
  readonly message: RegExp;
}

const REFUSED_CASES: readonly RefusedCase[] = [
  {
    name: 'a customer twice',
    part: { customers: [red, blue, red] },
    field: 'customers[2].customerId',
    message: /"red" is taken by customers\[0\]; a unique id expected/,
  },
  {
    name: 'a shape twice',
    part: { shapes: [shape, shape] },
    field: 'shapes[1].shapeId',
    message: /"red-plan".*unique/,
  },
  {
    name: 'a rule twice',
    part: { rules: [rule, rule] },
    field: 'rules[1].ruleId',
    message: /"all"/,
  },
  {
    name: 'a cell twice',
    part: { cells: [...SAMPLE.cells, SAMPLE.cells[0]] },
    field: 'cells[2].cell',
    message: /"north".*unique/,
  },
  {
    name: 'an objective twice',
    part: { objectives: [objective, objective] },
    field: 'objectives[1].objectiveId',
    message: /"red-start".*unique/,
  },
  {
    name: 'a shape of an unknown customer',
    part: { shapes: [{ ...shape, customerId: 'green' }], objectives: [] },
    field: 'shapes[0].customerId',
    message: /"green" is not a customer; expected one of: red, blue/,
  },
  {
    name: 'a shape in an unknown cell',
    part: { shapes: [{ ...shape, cell: 'west' }] },
    field: 'shapes[0].cell',
    message: /"west" is not a cell; expected one of: north, south/,
  },
  {
    name: 'a rule for an unknown customer',
    part: { rules: [{ ...rule, customerIds: ['red', 'green'] }] },
    field: 'rules[0].customerIds[1]',
    message: /"green"/,
  },
  {
    name: 'a rule for an unknown cell',
    part: { rules: [{ ...rule, cells: ['west'] }] },
    field: 'rules[0].cells[0]',
    message: /"west"/,
  },
  {
    name: 'a customer twice in a rule',
    part: { rules: [{ ...rule, customerIds: ['red', 'red'] }] },
    field: 'rules[0].customerIds[1]',
    message: /"red" stands twice/,
  },
  {
    name: 'an objective for an unknown customer',
    part: { objectives: [{ ...objective, customerId: 'green' }] },
    field: 'objectives[0].customerId',
    message: /"green"/,
  },
  {
    name: 'a start objective without a shape',
    part: { objectives: [{ ...objective, customerId: 'blue' }] },
    field: 'objectives[0].customerId',
    message: /"blue" holds no shape/,
  },
  {
    name: 'a refusal objective with a threshold',
    part: { objectives: [{ ...objective, kind: 'notRefused' }] },
    field: 'objectives[0].thresholdMs',
    message: /3400 given, 0 expected/,
  },
  {
    name: 'a start objective without a threshold',
    part: { objectives: [{ ...objective, thresholdMs: 0 }] },
    field: 'objectives[0].thresholdMs',
    message: /0 given, at least 1 expected/,
  },
  {
    name: 'a shape larger than a worker',
    part: { shapes: [{ ...shape, accelerators: 9 }] },
    field: 'shapes[0].accelerators',
    message: /9 given, at most 8 expected: one worker of cell north/,
  },
  {
    name: 'a shape larger than a rack',
    part: { shapes: [{ ...shape, accelerators: 25, adjacency: 'rack' }] },
    field: 'shapes[0].accelerators',
    message: /25 given, at most 24 expected/,
  },
  {
    name: 'shapes that exceed their cell in total',
    part: {
      shapes: [
        { ...shape, count: 4 },
        { ...shape, shapeId: 'more', accelerators: 1 },
      ],
    },
    field: 'cells[0]',
    message: /"north" has 32 accelerators, and shapes of 33 \(red-plan, more\)/,
  },
  {
    name: 'a rack shape together with worker shapes that leave no rack free',
    part: {
      shapes: [
        { ...shape, accelerators: 24, adjacency: 'rack' },
        { ...shape, shapeId: 'more', accelerators: 5, count: 2 },
      ],
      customers: [{ ...red, quotaAccelerators: 64 }, blue],
    },
    field: 'cells[0]',
    message: /don't fit together/,
  },
  {
    name: 'a quota below the shapes held',
    part: { customers: [{ ...red, quotaAccelerators: 7 }, blue] },
    field: 'customers[0].quotaAccelerators',
    message: /7 given, at least 8 expected/,
  },
  {
    name: 'guaranteed slots above those of an upstream',
    part: { routing: { ...SAMPLE.routing, slotsPerUpstream: 2 } },
    field: 'routing.slotsPerUpstream',
    message: /2 given, at least 3 expected/,
  },
  {
    name: 'a number out of range',
    part: { customers: [{ ...red, guaranteedSlots: -1 }, blue] },
    field: 'customers[0].guaranteedSlots',
    message: /integer from 0 to 1024, got -1/,
  },
  {
    name: 'an unknown field',
    part: { placement: { ...SAMPLE.placement, colour: 'red' } },
    field: 'placement.colour',
    message: /./,
  },
];

test.test('the sample is accepted', () => {
  assert.deepEqual(configurationChecks.decodeDocument(SAMPLE), { isValid: true, value: SAMPLE });
});

for (const it of REFUSED_CASES) {
  test.test(`refused: ${it.name}`, () => {
    const decoded = configurationChecks.decodeDocument({ ...SAMPLE, ...it.part });
    assert.ok(!decoded.isValid);
    const found = decoded.issues.find((issue) => issue.field === it.field);
    assert.match(found?.message ?? JSON.stringify(decoded.issues), it.message);
    assert.ok(found !== undefined);
  });
}

const packing: readonly (readonly [
  string,
  readonly (readonly [string, number, number])[],
  boolean,
])[] = [
  ['four full workers', [['worker', 8, 4]], true],
  [
    'a full rack and a full worker',
    [
      ['rack', 24, 1],
      ['worker', 8, 1],
    ],
    true,
  ],
  ['half workers in pairs', [['worker', 4, 8]], true],
  ['shapes of five, one per worker', [['worker', 5, 5]], false],
  [
    'a rack shape of 16 and two full workers',
    [
      ['rack', 16, 1],
      ['worker', 8, 2],
    ],
    true,
  ],
  ['two rack shapes of 16', [['rack', 16, 2]], false],
  [
    'a zone shape takes the remaining accelerators',
    [
      ['rack', 20, 1],
      ['zone', 12, 1],
    ],
    true,
  ],
];

for (const [name, shapes, fits] of packing) {
  test.test(`packing: ${name}`, () => {
    const [cell] = SAMPLE.cells as [configuration.Cell];
    const all = shapes.map(([adjacency, accelerators, count]) => ({
      ...shape,
      adjacency: adjacency as configuration.Adjacency,
      accelerators,
      count,
    }));
    assert.equal(configurationPacking.canHold(cell, all), fits);
  });
}

test.test('a difference identifies items by id, so that an insertion shifts no paths', () => {
  const green = { ...blue, customerId: 'green', name: 'Green' };
  const after = {
    ...SAMPLE,
    customers: [green, { ...red, quotaAccelerators: 40 }],
  };
  const changes = configurationDifference.compareDocuments(SAMPLE, after);
  const quota = changes.find((it) => it.path === 'customers[red].quotaAccelerators');
  assert.deepEqual([quota?.before, quota?.after], ['32', '40']);
  assert.ok(changes.some((it) => it.path === 'customers[blue].name' && it.after === undefined));
  assert.equal(changes.filter((it) => it.path.startsWith('customers[red]')).length, 1);
});
