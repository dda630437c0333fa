/**
 * Edits of the configuration document by forms: one item or part at a time.
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
 * @param id - id of an item; ignored for a part that stands once
 * @returns the item, undefined where there is none
 */
export const findItem = (
  document: Document,
  editor: editors.Editor,
  id: string,
): Item | undefined =>
  editor.idKey === undefined
    ? document[editor.name as editors.PartName]
    : itemsOf(document, editor).find((it) => it[editor.idKey ?? ''] === id);

/** An edited document, not validated, with the place of the edited item. */
export interface Edited {
  readonly document: unknown;
  /** Index in the list; -1 for a part that stands once. */
  readonly index: number;
}

/**
 * @param document - the document that the form was opened with
 * @param editor - the form
 * @param id - id of the edited item; empty for a new one
 * @param item - the new content
 * @returns the whole document with the item in its place
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
 * Puts complaints beside the fields that were typed.
 *
 * @param issues - complaints about the whole document
 * @param editor - the form
 * @param index - place of the edited item
 * @param typed - what was typed
 * @returns complaints by field; what belongs to no field of the form stands under the empty name
 */
export const errorsByField = (
  issues: readonly schemaIssues.FieldIssue[],
  editor: editors.Editor,
  index: number,
  typed: fields.Typed,
): fields.FieldErrors => {
  const prefix = editor.idKey === undefined ? [editor.name] : [editor.name, index];
  const found = new Map<string, string[]>();
  for (const { path, field, message } of issues) {
    const isOfItem = prefix.every((part, at) => path[at] === part);
    const name = String(path[prefix.length] ?? '');
    const isKnown = isOfItem && Object.hasOwn(typed, name);
    const key = isKnown ? name : '';
    // The number that could not be read is told as it was typed.
    const text = isKnown
      ? message.replace('NaN', JSON.stringify(typed[name]))
      : `${field}: ${message}`;
    found.set(key, [...(found.get(key) ?? []), text]);
  }
  return found;
};
