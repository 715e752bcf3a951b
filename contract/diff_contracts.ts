import type { Contract } from './contract.ts';

/** A field that differs between two contracts. A value of `undefined` means an absent field. */
export interface ContractDifference {
  /** Path of the field, for example `limits.concurrency` or `routes.0.deadlineMs`. */
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> => (
  typeof value === 'object' && value !== null
);

const joinPath = (path: string, name: string) => (path === '' ? name : `${path}.${name}`);

const collect = (path: string, before: unknown, after: unknown): readonly ContractDifference[] => {
  if (Object.is(before, after)) return [];
  if (!isObject(before) || !isObject(after)) return [{ field: path, before, after }];
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].flatMap((name) => collect(joinPath(path, name), before[name], after[name]));
};

/**
 * Lists the fields in which two contracts differ.
 *
 * @param before The old contract; `undefined` when there is none.
 * @param after The new contract.
 * @returns The differences in the order of the fields; empty when the contracts are equal.
 *
 * @example
 * for (const { field } of diffContracts(current, proposed)) print(field);
 */
export const diffContracts = (
  before: Contract | undefined,
  after: Contract,
): readonly ContractDifference[] => collect('', before ?? {}, after);
