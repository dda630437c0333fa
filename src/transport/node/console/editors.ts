/**
 * Definitions of the forms of the configuration document: the part that each edits, and its fields.
 */
import type * as configuration from '../../../state/common/configuration.js';
import type * as fields from './fields.js';

type Document = configuration.ConfigurationDocument;

/** Parts of the document that are lists. */
export type ListName = 'customers' | 'shapes' | 'rules' | 'cells' | 'objectives';

/** Parts of the document that are single objects. */
export type PartName = 'placement' | 'routing';

/** Definition of the form for one kind of item. */
export interface Editor {
  readonly name: ListName | PartName;
  readonly title: string;
  /** Singular name of an item. */
  readonly itemTitle: string;
  /** Key of an item's id; undefined for a part that is not a list. */
  readonly idKey: string | undefined;
  readonly fields: (document: Document) => readonly fields.Field[];
  /** Initial values of a new item. */
  readonly initial: fields.EnteredValues;
}

const text = (name: string, label: string, hint = ''): fields.Field => ({
  name,
  label,
  kind: 'text',
  hint,
});

const number = (name: string, label: string, hint: string): fields.Field => ({
  name,
  label,
  kind: 'number',
  hint,
});

const select = (
  name: string,
  label: string,
  choices: readonly string[],
  hint = '',
): fields.Field => ({ name, label, kind: 'select', choices, hint });

const ID_HINT = 'Lower-case letters, digits, dots, dashes or underscores; it cannot be changed.';

const customerIds = (document: Document): readonly string[] =>
  document.customers.map((it) => it.customerId);

const cellIds = (document: Document): readonly string[] => document.cells.map((it) => it.cell);

/** All form definitions. */
export const EDITORS: readonly Editor[] = [
  {
    name: 'customers',
    title: 'Customers',
    itemTitle: 'customer',
    idKey: 'customerId',
    initial: { requestWeight: '1', guaranteedSlots: '0', quotaAccelerators: '0' },
    fields: () => [
      text('customerId', 'Customer id', ID_HINT),
      text('name', 'Name', 'For people.'),
      number('requestWeight', 'Request weight', 'Share of requests under load, 0.01 to 1000.'),
      number('guaranteedSlots', 'Guaranteed slots', 'Slots of each upstream, 0 to 1024.'),
      number('quotaAccelerators', 'Quota', 'Accelerators in all cells together, 0 to 100000.'),
    ],
  },
  {
    name: 'shapes',
    title: 'Guaranteed shapes',
    itemTitle: 'shape',
    idKey: 'shapeId',
    initial: { accelerators: '1', adjacency: 'worker', count: '1' },
    fields: (document) => [
      text('shapeId', 'Shape id', ID_HINT),
      select('customerId', 'Customer', customerIds(document)),
      select('cell', 'Cell', cellIds(document)),
      number('accelerators', 'Accelerators', 'Of one instance, 1 to 4096.'),
      select('adjacency', 'Adjacency', ['worker', 'rack', 'zone'], 'How close they must lie.'),
      number('count', 'Count', 'Instances that the customer holds, 1 to 1000.'),
    ],
  },
  {
    name: 'rules',
    title: 'Rules for spare accelerators',
    itemTitle: 'rule',
    idKey: 'ruleId',
    initial: { weight: '1', maxAccelerators: '8' },
    fields: () => [
      text('ruleId', 'Rule id', ID_HINT),
      { name: 'customerIds', label: 'Customers', kind: 'list', hint: 'Ids with commas between.' },
      { name: 'cells', label: 'Cells', kind: 'list', hint: 'Ids with commas; empty means all.' },
      number('weight', 'Weight', 'Among the borrowers of a cell, 0.01 to 1000.'),
      number('maxAccelerators', 'Limit', 'Accelerators for each customer and cell, 1 to 100000.'),
      {
        name: 'throttleFirst',
        label: 'Throttle before stopping',
        kind: 'checkbox',
        hint: 'A borrowed job is throttled before it is stopped.',
      },
    ],
  },
  {
    name: 'cells',
    title: 'Cells',
    itemTitle: 'cell',
    idKey: 'cell',
    initial: { workers: '0', acceleratorsPerWorker: '8', workersPerRack: '3' },
    fields: () => [
      text('cell', 'Cell', 'The availability zone.'),
      text('region', 'Region'),
      number('workers', 'Workers', 'Expected, 0 to 10000.'),
      number('acceleratorsPerWorker', 'Accelerators of a worker', '0 to 64.'),
      number('workersPerRack', 'Workers of a rack', '1 to 1000.'),
    ],
  },
  {
    name: 'objectives',
    title: 'Service-level objectives',
    itemTitle: 'objective',
    idKey: 'objectiveId',
    initial: { kind: 'startWithin', thresholdMs: '3400', target: '0.99', windowMs: '2592000000' },
    fields: (document) => [
      text('objectiveId', 'Objective id', ID_HINT),
      select('customerId', 'Customer', customerIds(document)),
      select('kind', 'Kind', ['startWithin', 'answeredWithin', 'notRefused']),
      number('thresholdMs', 'Threshold', 'Milliseconds; 0 for notRefused.'),
      number('target', 'Target', 'Part of the events that must be good, 0.5 to 0.99999.'),
      number('windowMs', 'Window', 'Milliseconds, 60000 to 7776000000.'),
    ],
  },
  {
    name: 'placement',
    title: 'Placement policy',
    itemTitle: 'placement policy',
    idKey: undefined,
    initial: {},
    fields: () => [
      number('completionWeight', 'Completion weight', 'Against fragmentation, 0 to 1.'),
      number('reclaimGraceMs', 'Reclaim grace', 'Milliseconds to checkpoint, 0 to 600000.'),
      number('largeJobAccelerators', 'Large job', 'Accelerators from which a job is large.'),
      number('largeJobWaitMs', 'Large job wait', 'Milliseconds before it gets a reservation.'),
      number('quarantineFailures', 'Quarantine after', 'Distinct jobs that fail, 1 to 100.'),
      number('quarantineCapShare', 'Quarantine cap', 'Part of the workers of a cell, 0 to 1.'),
      number('unrunnableFailures', 'Abandon a job after', 'Healthy workers that it fails on.'),
      number('taskLeaseMs', 'Task lease', 'Milliseconds, 1000 to 3600000.'),
    ],
  },
  {
    name: 'routing',
    title: 'Routing policy',
    itemTitle: 'routing policy',
    idKey: undefined,
    initial: {},
    fields: () => [
      number('crossRegionPriceMs', 'Cross-region price', 'Milliseconds, 0 to 600000.'),
      number('crossRegionMaxShare', 'Cross-region share', 'Part of the requests, 0 to 1.'),
      number('retryBudgetShare', 'Retry budget', 'Retries for each answer, 0 to 1.'),
      number('ejectionCapShare', 'Ejection cap', 'Part of the upstreams, 0 to 1.'),
      number('defaultDeadlineMs', 'Default deadline', 'Milliseconds, 1 to 3600000.'),
      {
        name: 'slotsPerUpstream',
        label: 'Slots of an upstream',
        kind: 'number',
        hint: 'Expected, 1 to 4096; guaranteed slots must fit in it. May be empty.',
        isOptional: true,
      },
    ],
  },
];
