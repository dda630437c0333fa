/**
 * Rows as text: aligned columns for people, comma-separated values for programs.
 */

/** A cell of a table; numbers stand at the right. */
export type Cell = string | number | boolean | undefined;

/** A table with the names of its columns. */
export interface Table {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/** What a terminal would take for a command is shown as a question mark. */
// eslint-disable-next-line no-control-regex -- control characters are what is looked for
const CONTROL = /[\u0000-\u001f\u007f-\u009f]/g;

const textOf = (cell: Cell): string => (cell === undefined ? '-' : String(cell));

const printable = (cell: Cell): string => textOf(cell).replace(CONTROL, '?');

/**
 * @param table - rows of any width
 * @returns lines with aligned columns under a heading
 */
export const formatTable = (table: Table): readonly string[] => {
  const widths = table.columns.map((name, index) =>
    table.rows.reduce((width, row) => Math.max(width, printable(row[index]).length), name.length),
  );
  const format = (row: readonly Cell[]): string =>
    widths
      .map((width, index) => {
        const text = printable(row[index]);
        if (typeof row[index] === 'number') return text.padStart(width);
        // One long text at the end must not make every row as long.
        return index === widths.length - 1 ? text : text.padEnd(width);
      })
      .join('  ')
      .trimEnd();
  return [format(table.columns.map((it) => it.toUpperCase())), ...table.rows.map(format)];
};

/** A spreadsheet takes a text that begins so for a formula. */
const FORMULA = /^[=+\-@\t\r]/;

const quote = (cell: Cell): string => {
  const text = cell === undefined ? '' : String(cell);
  const safe = typeof cell === 'string' && FORMULA.test(text) ? `'${text}` : text;
  return /[",\r\n]/.test(safe) ? `"${safe.replaceAll('"', '""')}"` : safe;
};

/**
 * @param table - rows of any width
 * @returns lines as RFC 4180 wants them, with a heading
 */
export const formatCsv = (table: Table): readonly string[] =>
  [table.columns, ...table.rows].map((row) => row.map(quote).join(','));
