/**
 * Edits the configuration document: adds, changes and removes items of its lists, and compares two
 * documents. The functions are pure and validate the result against the schema.
 */
import * as errors from '../base/common/errors.js';
import * as configuration from '../state/common/configuration.js';

import * as inputDocument from './inputDocument.js';

/** Lists of the document that can be edited item by item, with the id field of their items. */
export const LIST_ID_FIELDS = {
  customers: 'customerId',
  shapes: 'shapeId',
  rules: 'ruleId',
} as const;

/** One of the lists of {@link LIST_ID_FIELDS}. */
export type ListName = keyof typeof LIST_ID_FIELDS;

type Item = Readonly<Record<string, unknown>>;

/** One path with different values. */
export interface Difference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

const itemsOf = (document: configuration.ConfigurationDocument, list: ListName): readonly Item[] =>
  document[list];

const validated = (document: unknown): configuration.ConfigurationDocument =>
  inputDocument.decodeOrFail(configuration.ConfigurationDocument, document, 'configuration');

const idOf = (list: ListName, item: Item): string => String(item[LIST_ID_FIELDS[list]]);

const missing = (list: ListName, id: string): errors.AuburnliftError =>
  errors.fail('notFound', `no ${id} in ${list}; nothing was written`, { field: list });

const parseValue = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
};

/**
 * @param args - arguments `field=value`; a value that is not JSON is taken as text
 * @returns the fields
 * @throws AuburnliftError `invalidRequest` for an argument without `=`
 */
export const parseFields = (args: readonly string[]): Item =>
  Object.fromEntries(
    args.map((arg) => {
      const at = arg.indexOf('=');
      if (at < 1) {
        throw errors.fail('invalidRequest', `${arg}: field=value is expected`, { field: arg });
      }
      return [arg.slice(0, at), parseValue(arg.slice(at + 1))];
    }),
  );

/**
 * @param document - the active document
 * @param list - which list
 * @param id - id of the new item
 * @param fields - its other fields
 * @returns the document with the item at the end of the list
 * @throws AuburnliftError `conflict` if the id exists, `invalidRequest` naming an invalid field
 */
export const addItem = (
  document: configuration.ConfigurationDocument,
  list: ListName,
  id: string,
  fields: Item,
): configuration.ConfigurationDocument => {
  const items = itemsOf(document, list);
  if (items.some((it) => idOf(list, it) === id)) {
    throw errors.fail('conflict', `${id} already exists in ${list}; nothing was written`, {
      field: list,
    });
  }
  return validated({ ...document, [list]: [...items, { [LIST_ID_FIELDS[list]]: id, ...fields }] });
};

/**
 * @param document - the active document
 * @param list - which list
 * @param id - id of the item
 * @param fields - fields that change
 * @returns the document with the item changed
 * @throws AuburnliftError `notFound`, or `invalidRequest` naming an invalid field
 */
export const setItem = (
  document: configuration.ConfigurationDocument,
  list: ListName,
  id: string,
  fields: Item,
): configuration.ConfigurationDocument => {
  const items = itemsOf(document, list);
  if (!items.some((it) => idOf(list, it) === id)) throw missing(list, id);
  const changed = items.map((it) => (idOf(list, it) === id ? { ...it, ...fields } : it));
  return validated({ ...document, [list]: changed });
};

/**
 * @param document - the active document
 * @param list - which list
 * @param id - id of the item
 * @returns the document without the item
 * @throws AuburnliftError `notFound`
 */
export const removeItem = (
  document: configuration.ConfigurationDocument,
  list: ListName,
  id: string,
): configuration.ConfigurationDocument => {
  const items = itemsOf(document, list);
  const remaining = items.filter((it) => idOf(list, it) !== id);
  if (remaining.length === items.length) throw missing(list, id);
  return validated({ ...document, [list]: remaining });
};

const LIST_ITEM_KEYS: Readonly<Record<string, string>> = {
  ...LIST_ID_FIELDS,
  cells: 'cell',
  objectives: 'objectiveId',
};

/** Collects the leaf values by path. Items are identified by id, so their order does not matter. */
const leavesOf = (value: unknown, path: string, leaves: Map<string, unknown>): void => {
  const idKey = LIST_ITEM_KEYS[path];
  if (idKey !== undefined && Array.isArray(value)) {
    (value as Item[]).forEach((it) => leavesOf(it, `${path}[${String(it[idKey])}]`, leaves));
  } else if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
    Object.entries(value).forEach(([key, child]) =>
      leavesOf(child, path === '' ? key : `${path}.${key}`, leaves),
    );
  } else leaves.set(path, value);
};

/**
 * @param before - a document
 * @param after - the document to compare with
 * @returns the differing fields, sorted by path
 */
export const differences = (before: unknown, after: unknown): readonly Difference[] => {
  const oldLeaves = new Map<string, unknown>();
  const newLeaves = new Map<string, unknown>();
  leavesOf(before, '', oldLeaves);
  leavesOf(after, '', newLeaves);
  return [...new Set([...oldLeaves.keys(), ...newLeaves.keys()])]
    .filter((path) => JSON.stringify(oldLeaves.get(path)) !== JSON.stringify(newLeaves.get(path)))
    .sort()
    .map((path) => ({ path, before: oldLeaves.get(path), after: newLeaves.get(path) }));
};
