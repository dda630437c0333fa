/**
 * Applies form edits to the configuration document, one item or part at a time.
 */
import type * as schemaIssues from '../../../base/common/schemaIssues.js';
import type * as configuration from '../../../state/common/configuration.js';
import type * as editors from './editors.js';
import type * as fields from './fields.js';

type Document = configuration.ConfigurationDocument;
type Item = Readonly<Record<string, unknown>>;

/**
 * @param document - the document
 * @param editor - the form of a list
 * @returns the items of the list
 */
export const itemsOf = (document: Document, editor: editors.Editor): readonly Item[] =>
  document[editor.name as editors.ListName];

/**
 * @param document - the document
 * @param editor - the form
 * @param id - id of an item; ignored for a part that is not a list
 * @returns the item, or undefined if there is none
 */
export const findItem = (
  document: Document,
  editor: editors.Editor,
  id: string,
): Item | undefined =>
  editor.idKey === undefined
    ? document[editor.name as editors.PartName]
    : itemsOf(document, editor).find((it) => it[editor.idKey ?? ''] === id);

/** An edited document, not validated, with the index of the edited item. */
export interface Edited {
  readonly document: unknown;
  /** Index in the list; -1 for a part that is not a list. */
  readonly index: number;
}

/**
 * @param document - the document that the form was opened with
 * @param editor - the form
 * @param id - id of the edited item; empty for a new one
 * @param item - the new content
 * @returns the whole document with the item replaced or appended
 */
export const withItem = (
  document: Document,
  editor: editors.Editor,
  id: string,
  item: Item,
): Edited => {
  const { idKey, name } = editor;
  if (idKey === undefined) return { document: { ...document, [name]: item }, index: -1 };
  const items = [...itemsOf(document, editor)];
  const found = id === '' ? -1 : items.findIndex((it) => it[idKey] === id);
  const index = found < 0 ? items.length : found;
  items[index] = item;
  return { document: { ...document, [name]: items }, index };
};

/**
 * @param document - the document that the form was opened with
 * @param editor - the form of a list
 * @param id - id of the item
 * @returns the whole document without the item
 */
export const withoutItem = (document: Document, editor: editors.Editor, id: string): unknown => ({
  ...document,
  [editor.name]: itemsOf(document, editor).filter((it) => it[editor.idKey ?? ''] !== id),
});

/**
 * Assigns validation errors to the form fields that they concern.
 *
 * @param issues - validation errors of the whole document
 * @param editor - the form
 * @param index - index of the edited item
 * @param typed - entered values
 * @returns errors by field; those of no field of the form have the empty name
 */
export const errorsByField = (
  issues: readonly schemaIssues.FieldIssue[],
  editor: editors.Editor,
  index: number,
  typed: fields.EnteredValues,
): fields.FieldErrors => {
  const prefix = editor.idKey === undefined ? [editor.name] : [editor.name, index];
  const found = new Map<string, string[]>();
  for (const { path, field, message } of issues) {
    const isOfItem = prefix.every((part, at) => path[at] === part);
    const name = String(path[prefix.length] ?? '');
    const isKnown = isOfItem && Object.hasOwn(typed, name);
    const key = isKnown ? name : '';
    // Shows a number that could not be parsed as it was entered.
    const text = isKnown
      ? message.replace('NaN', JSON.stringify(typed[name]))
      : `${field}: ${message}`;
    found.set(key, [...(found.get(key) ?? []), text]);
  }
  return found;
};
