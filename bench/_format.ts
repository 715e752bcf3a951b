import { type BenchRow, isTargetMet } from './bench.ts';

const SIGNIFICANT_DIGITS = 4;

const formatValue = (value: number | null) => (
  value === null ? '-' : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)))
);

const formatTarget = (row: BenchRow) => {
  if (row.target === null) return '-';
  const verdict = isTargetMet(row);
  const suffix = verdict === undefined ? '' : ` (${verdict ? 'met' : 'MISSED'})`;
  return `${row.target.relation} ${row.target.value}${suffix}`;
};

/** Formats benchmark rows as a Markdown table. */
export const formatRows = (rows: readonly BenchRow[]): string => [
  '| metric | unit | naive | product | target |',
  '| --- | --- | --- | --- | --- |',
  ...rows.map((row) => (
    `| ${row.metric} | ${row.unit} | ${formatValue(row.naive)} | ${formatValue(row.product)} `
    + `| ${formatTarget(row)} |`
  )),
].join('\n');
