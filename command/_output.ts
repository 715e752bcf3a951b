/** Exit statuses of the command line. */
export const exitStatuses = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
} as const;

/** Where a command writes; tests replace it. */
export interface Output {
  readonly out: (text: string) => void;
  readonly error: (text: string) => void;
}

export const processOutput: Output = {
  out: (text) => process.stdout.write(`${text}\n`),
  error: (text) => process.stderr.write(`${text}\n`),
};

/** Formats rows as a table with aligned columns. */
export const formatTable = (
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string => {
  const all = [header, ...rows];
  const widthOf = (column: number) => Math.max(...all.map((row) => (row[column] ?? '').length));
  const widths = header.map((_, column) => widthOf(column));
  const formatRow = (row: readonly string[]) => row
    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join('  ')
    .trimEnd();
  return all.map(formatRow).join('\n');
};
