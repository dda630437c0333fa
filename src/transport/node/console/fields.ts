/**
 * Form fields: rendering, and conversion between entered text and values of the document.
 */
import * as html from './html.js';

/** Input kind of a field. */
export type FieldKind = 'text' | 'number' | 'checkbox' | 'select' | 'list';

/** A field of a form. */
export interface Field {
  /** Key in the document. */
  readonly name: string;
  readonly label: string;
  readonly kind: FieldKind;
  /** Short note on unit, limits and meaning. */
  readonly hint?: string;
  /** Choices of a select. */
  readonly choices?: readonly string[];
  /** Whether the key is omitted if the text is empty. */
  readonly isOptional?: boolean;
}

/** Entered values by field. */
export type EnteredValues = Readonly<Record<string, string>>;

/** Validation errors by field; those of no field have the empty name. */
export type FieldErrors = ReadonlyMap<string, readonly string[]>;

const LIST_SEPARATOR = ', ';

const toText = (value: unknown): string => {
  if (value === undefined) return '';
  if (Array.isArray(value)) return value.join(LIST_SEPARATOR);
  if (value === true) return 'on';
  return value === false ? '' : String(value);
};

/**
 * @param fields - fields of the form
 * @param item - an item of the document
 * @returns the item as form input
 */
export const toEnteredValues = (
  fields: readonly Field[],
  item: Readonly<Record<string, unknown>>,
): EnteredValues => Object.fromEntries(fields.map((it) => [it.name, toText(item[it.name])]));

/**
 * @param fields - fields of the form
 * @param form - fields of a POST
 * @returns the entered values, trimmed
 */
export const readEnteredValues = (fields: readonly Field[], form: URLSearchParams): EnteredValues =>
  Object.fromEntries(fields.map((it) => [it.name, (form.get(it.name) ?? '').trim()]));

const toValue = (field: Field, text: string): unknown => {
  switch (field.kind) {
    case 'number':
      // Text that is not a number becomes NaN, which the schema rejects with a message that gives the limits.
      return text === '' ? Number.NaN : Number(text);
    case 'checkbox':
      return text !== '';
    case 'list':
      return text.split(/[\s,]+/).filter((it) => it !== '');
    default:
      return text;
  }
};

/**
 * @param fields - fields of the form
 * @param typed - entered values
 * @returns the item, not validated
 */
export const toItem = (fields: readonly Field[], typed: EnteredValues): Record<string, unknown> =>
  Object.fromEntries(
    fields
      .filter((it) => !(it.isOptional === true && (typed[it.name] ?? '') === ''))
      .map((it) => [it.name, toValue(it, typed[it.name] ?? '')]),
  );

const control = (field: Field, text: string, attributes: html.Html): html.Html => {
  switch (field.kind) {
    case 'checkbox': {
      const checked = text === '' ? html.EMPTY : html.html` checked`;
      return html.html`<input type="checkbox"${attributes}${checked}>`;
    }
    case 'select': {
      const options = (field.choices ?? []).map((it) => {
        const selected = it === text ? html.html` selected` : html.EMPTY;
        return html.html`<option value="${it}"${selected}>${it}</option>`;
      });
      return html.html`<select${attributes}>${options}</select>`;
    }
    case 'number':
      return html.html`<input type="text" inputmode="decimal"${attributes} value="${text}">`;
    default:
      return html.html`<input type="text"${attributes} value="${text}">`;
  }
};

/**
 * @param field - the field
 * @param text - its entered text
 * @param problems - its validation errors
 * @returns label, hint, control and errors, linked for screen readers
 */
export const renderField = (
  field: Field,
  text: string,
  problems: readonly string[] = [],
): html.Html => {
  const hintId = `${field.name}-hint`;
  const errorId = `${field.name}-error`;
  const isInvalid = problems.length > 0;
  const described = isInvalid ? `${errorId} ${hintId}` : hintId;
  const invalid = isInvalid ? html.html` aria-invalid="true"` : html.EMPTY;
  const attributes = html.html` id="${field.name}" name="${field.name}" aria-describedby="${described}"${invalid}`;
  return html.html`<div class="field"><label for="${field.name}">${field.label}</label>
<p class="hint" id="${hintId}">${field.hint ?? ''}</p>
${control(field, text, attributes)}
${html.when(isInvalid, () => html.html`<p class="error" id="${errorId}" role="alert">${problems.join('; ')}</p>`)}
</div>`;
};
