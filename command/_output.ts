/** Exit statuses of the command-line program. */
export const exitStatuses = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
} as const;

/** Output streams of a command; tests substitute their own. */
export interface Output {
  readonly print: (text: string) => void;
  readonly error: (text: string) => void;
}

export const processOutput: Output = {
  print: (text) => process.stdout.write(`${text}\n`),
  error: (text) => process.stderr.write(`${text}\n`),
};

/** Formats rows as a table with aligned columns. */
export const formatTable = (
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string => {
  const allRows = [header, ...rows];
  const columnWidth = (column: number) => (
    Math.max(...allRows.map((row) => (row[column] ?? '').length))
  );
  const widths = header.map((_, column) => columnWidth(column));
  const formatRow = (row: readonly string[]) => row
    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join('  ')
    .trimEnd();
  return allRows.map(formatRow).join('\n');
};
