import { type BenchRow, isTargetMet } from './bench.ts';

const FIGURE_DIGITS = 4;

const formatFigure = (value: number | null) => (
  value === null ? '-' : String(Number(value.toPrecision(FIGURE_DIGITS)))
);

const formatTarget = (row: BenchRow) => {
  if (row.target === null) return '-';
  const verdict = isTargetMet(row);
  const suffix = verdict === undefined ? '' : ` (${verdict ? 'met' : 'MISSED'})`;
  return `${row.target.relation} ${row.target.value}${suffix}`;
};

/** Formats the figures as a Markdown table. */
export const formatRows = (rows: readonly BenchRow[]): string => [
  '| metric | unit | naive | product | target |',
  '| --- | --- | --- | --- | --- |',
  ...rows.map((row) => (
    `| ${row.metric} | ${row.unit} | ${formatFigure(row.naive)} | ${formatFigure(row.product)} `
    + `| ${formatTarget(row)} |`
  )),
].join('\n');
