/**
 * Formats rows as text: aligned columns for people, comma-separated values for programs.
 */

/** A cell of a table; numbers are aligned to the right. */
export type Cell = string | number | boolean | undefined;

/** A table with the names of its columns. */
export interface Table {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/** Control characters, which a terminal could execute, are shown as question marks. */
// eslint-disable-next-line no-control-regex -- matches control characters on purpose
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
        // The last column is not padded: one long text would make every row as long.
        return index === widths.length - 1 ? text : text.padEnd(width);
      })
      .join('  ')
      .trimEnd();
  return [format(table.columns.map((it) => it.toUpperCase())), ...table.rows.map(format)];
};

/** Matches the start of texts that a spreadsheet would interpret as a formula. */
const FORMULA = /^[=+\-@\t\r]/;

const quote = (cell: Cell): string => {
  const text = cell === undefined ? '' : String(cell);
  const safe = typeof cell === 'string' && FORMULA.test(text) ? `'${text}` : text;
  return /[",\r\n]/.test(safe) ? `"${safe.replaceAll('"', '""')}"` : safe;
};

/**
 * @param table - rows of any width
 * @returns lines in the format of RFC 4180, with a heading
 */
export const formatCsv = (table: Table): readonly string[] =>
  [table.columns, ...table.rows].map((row) => row.map(quote).join(','));
