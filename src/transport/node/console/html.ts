/**
 * HTML templates that escape every value, so that external text never becomes markup.
 */
import * as escaping from '../../../base/common/escapeHtml.js';

/** Text that is safe to send as HTML; created by {@link html}. */
export interface Html {
  readonly safe: string;
}

/** A value in a template. */
export type HtmlValue = Html | readonly Html[] | string | number | undefined;

const isHtml = (value: unknown): value is Html =>
  typeof value === 'object' && value !== null && 'safe' in value;

const render = (value: HtmlValue): string => {
  if (value === undefined) return '';
  if (isHtml(value)) return value.safe;
  if (typeof value === 'string' || typeof value === 'number') {
    return escaping.escapeHtml(String(value));
  }
  return value.map((it) => it.safe).join('');
};

/**
 * @param parts - literal parts of the template
 * @param values - values, escaped unless they are already HTML
 * @returns the HTML
 */
export const html = (parts: TemplateStringsArray, ...values: readonly HtmlValue[]): Html => ({
  safe: parts.map((part, index) => part + render(values[index])).join(''),
});

/** Empty HTML. */
export const EMPTY: Html = { safe: '' };

/**
 * @param condition - whether to render the part
 * @param make - renders it
 * @returns the part, or empty HTML
 */
export const when = (condition: boolean, make: () => Html): Html => (condition ? make() : EMPTY);

/**
 * @param headings - heading of each column
 * @param rows - cells of each row
 * @param caption - caption of the table
 * @returns a table
 */
export const table = (
  headings: readonly string[],
  rows: readonly (readonly HtmlValue[])[],
  caption: string,
): Html =>
  html`<table>
    <caption>
      ${caption}
    </caption>
    <thead>
      <tr>
        ${headings.map((it) => html`<th scope="col">${it}</th>`)}
      </tr>
    </thead>
    <tbody>
      ${
        rows.length === 0
          ? html`<tr>
              <td colspan="${headings.length}">none</td>
            </tr>`
          : rows.map(
              (row) =>
                html`<tr>
                  ${row.map((cell) => html`<td>${cell}</td>`)}
                </tr>`,
            )
      }
    </tbody>
  </table>`;
