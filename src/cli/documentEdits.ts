/**
 * Edits of the one configuration document: adding, changing and removing an item of a list, and
 * what differs between two documents. Pure; the schema judges the result.
 */
import * as errors from '../base/common/errors.js';
import * as configuration from '../state/common/configuration.js';

import * as inputDocument from './inputDocument.js';

/** Lists of the document that can be edited item by item, with the key of an item. */
export const LIST_KEYS = {
  customers: 'customerId',
  shapes: 'shapeId',
  rules: 'ruleId',
} as const;

/** One of the lists of {@link LIST_KEYS}. */
export type ListName = keyof typeof LIST_KEYS;

type Item = Readonly<Record<string, unknown>>;

/** One path that differs. */
export interface Difference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

const itemsOf = (document: configuration.ConfigurationDocument, list: ListName): readonly Item[] =>
  document[list];

const checked = (document: unknown): configuration.ConfigurationDocument =>
  inputDocument.decodeOrFail(configuration.ConfigurationDocument, document, 'configuration');

const idOf = (list: ListName, item: Item): string => String(item[LIST_KEYS[list]]);

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
 * @param words - `field=value` each; a value is JSON where it parses, text otherwise
 * @returns the fields
 * @throws AuburnliftError `invalidRequest` for a word without `=`
 */
export const parseFields = (words: readonly string[]): Item =>
  Object.fromEntries(
    words.map((word) => {
      const at = word.indexOf('=');
      if (at < 1) {
        throw errors.fail('invalidRequest', `${word}: field=value is expected`, { field: word });
      }
      return [word.slice(0, at), parseValue(word.slice(at + 1))];
    }),
  );

/**
 * @param document - as it is in force
 * @param list - which list
 * @param id - id of the new item
 * @param fields - its other fields
 * @returns the document with the item at the end of the list
 * @throws AuburnliftError `conflict` where the id exists, `invalidRequest` naming a bad field
 */
export const addItem = (
  document: configuration.ConfigurationDocument,
  list: ListName,
  id: string,
  fields: Item,
): configuration.ConfigurationDocument => {
  const items = itemsOf(document, list);
  if (items.some((it) => idOf(list, it) === id)) {
    throw errors.fail('conflict', `${id} exists in ${list}; nothing was written`, { field: list });
  }
  return checked({ ...document, [list]: [...items, { [LIST_KEYS[list]]: id, ...fields }] });
};

/**
 * @param document - as it is in force
 * @param list - which list
 * @param id - id of the item
 * @param fields - fields that change
 * @returns the document with the item changed
 * @throws AuburnliftError `notFound`, or `invalidRequest` naming a bad field
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
  return checked({ ...document, [list]: changed });
};

/**
 * @param document - as it is in force
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
  const kept = items.filter((it) => idOf(list, it) !== id);
  if (kept.length === items.length) throw missing(list, id);
  return checked({ ...document, [list]: kept });
};

const LIST_ITEM_KEYS: Readonly<Record<string, string>> = {
  ...LIST_KEYS,
  cells: 'cell',
  objectives: 'objectiveId',
};

/** Leaves by path; an item stands under its id, so that its place in the list does not matter. */
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
 * @param after - another
 * @returns every field that differs, in the order of their paths
 */
export const differences = (before: unknown, after: unknown): readonly Difference[] => {
  const old = new Map<string, unknown>();
  const now = new Map<string, unknown>();
  leavesOf(before, '', old);
  leavesOf(after, '', now);
  return [...new Set([...old.keys(), ...now.keys()])]
    .filter((path) => JSON.stringify(old.get(path)) !== JSON.stringify(now.get(path)))
    .sort()
    .map((path) => ({ path, before: old.get(path), after: now.get(path) }));
};
