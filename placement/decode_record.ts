import { err, ok, Result } from 'neverthrow';
import { describeSchemaError, type FieldIssue, StepError } from '../errors/mod.ts';
import { type OwnershipJson, type RecordJson, recordSchema } from './_record_schema.ts';
import { parseRanges } from './_token_ranges.ts';
import type { Owner, PlacementRecord, SlotState } from './placement_record.ts';

const STEP = 'placement.decode';

type Decoded<T> = Result<T, FieldIssue>;

const NO_INDEXES: readonly number[] = [];

const resolveIndexes = <T>(
  table: readonly T[],
  indexes: readonly number[],
  field: string,
): Decoded<readonly T[]> => {
  const resolved: T[] = [];
  for (const [position, index] of indexes.entries()) {
    const item = table[index];
    if (item === undefined) {
      return err({ field: `${field}.${position}`, reason: `${index} is not in the table` });
    }
    resolved.push(item);
  }
  return ok(resolved);
};

const decodeOwners = (json: RecordJson): Decoded<readonly Owner[]> => {
  const owners: Owner[] = [];
  const ids = new Set<string>();
  for (const [position, owner] of json.owners.entries()) {
    const field = `owners.${position}`;
    const id = `${owner.node}#${owner.incarnation}`;
    if (ids.has(id)) return err({ field, reason: `'${id}' is given twice` });
    ids.add(id);
    const witnesses = resolveIndexes(json.witnesses, owner.witnesses, `${field}.witnesses`);
    if (witnesses.isErr()) return err(witnesses.error);
    const previousIndexes = owner.previousWitnesses ?? NO_INDEXES;
    const previous = resolveIndexes(json.witnesses, previousIndexes, `${field}.previousWitnesses`);
    if (previous.isErr()) return err(previous.error);
    owners.push({
      ...owner, id, witnesses: witnesses.value, previousWitnesses: previous.value,
    });
  }
  return ok(owners);
};

type Ownership = Omit<SlotState, 'token'>;

const decodeOwnership = (
  ids: readonly string[],
  json: OwnershipJson,
  field: string,
): Decoded<Ownership> => {
  const owner = json.owner === undefined ? undefined : ids[json.owner];
  if (json.owner !== undefined && owner === undefined) {
    return err({ field: `${field}.owner`, reason: `${json.owner} is not in owners` });
  }
  const movingTo = json.movingTo === undefined ? undefined : ids[json.movingTo];
  if (json.movingTo !== undefined && movingTo === undefined) {
    return err({ field: `${field}.movingTo`, reason: `${json.movingTo} is not in owners` });
  }
  const predecessorIndexes = json.predecessors ?? NO_INDEXES;
  return resolveIndexes(ids, predecessorIndexes, `${field}.predecessors`)
    .map((predecessors) => ({ owner, predecessors, movingTo }));
};

const decodeSlots = (
  json: RecordJson,
  ids: readonly string[],
): Decoded<readonly SlotState[]> => {
  const slots = new Array<SlotState | undefined>(json.slotCount).fill(undefined);
  for (const [position, group] of json.slots.entries()) {
    const field = `slots.${position}`;
    const ownership = decodeOwnership(ids, group, field);
    if (ownership.isErr()) return err(ownership.error);
    const ranges = parseRanges(group.ranges, json.slotCount);
    if (ranges === undefined) return err({ field: `${field}.ranges`, reason: 'is malformed' });
    const { owner, predecessors, movingTo } = ownership.value;
    let state: SlotState | undefined;
    for (const { token, first, last } of ranges) {
      if (state?.token !== token) {
        state = {
          owner, token, predecessors, movingTo,
        };
      }
      for (let slot = first; slot <= last; slot += 1) {
        if (slots[slot] !== undefined) {
          return err({ field: `${field}.ranges`, reason: `slot ${slot} is given twice` });
        }
        slots[slot] = state;
      }
    }
  }
  const assigned = slots.filter((state) => state !== undefined);
  if (assigned.length === json.slotCount) return ok(assigned);
  return err({ field: 'slots', reason: `slot ${slots.indexOf(undefined)} is missing` });
};

const decodeJson = (json: RecordJson): Decoded<PlacementRecord> => {
  const owners = decodeOwners(json);
  if (owners.isErr()) return err(owners.error);
  const ids = owners.value.map(({ id }) => id);
  const slots = decodeSlots(json, ids);
  if (slots.isErr()) return err(slots.error);
  const hotKeys = Result.combine(json.hotKeys.map((hotKey, position) => (
    decodeOwnership(ids, hotKey, `hotKeys.${position}`)
      .map((ownership) => ({ key: hotKey.key, state: { ...ownership, token: hotKey.token } }))
  )));
  return hotKeys.map((table) => ({
    service: json.service,
    version: json.version,
    slotCount: json.slotCount,
    owners: owners.value,
    slots: slots.value,
    hotKeys: table,
    writer: json.writer,
  }));
};

/**
 * Decodes a record that `encodeRecord` wrote.
 *
 * @param text The record as JSON text.
 * @param source Origin of the text, such as its store key, for the error.
 * @returns The record, or an error that names the invalid field. Slots with equal states share one
 * object.
 *
 * @example
 * const record = decodeRecord(entry.value, entry.key);
 */
export const decodeRecord = (text: string, source = ''): Result<PlacementRecord, StepError> => {
  const fail = ({ field, reason }: FieldIssue, cause?: unknown) => (
    err(new StepError(`${field}: ${reason}`, { step: STEP, peer: source, cause }))
  );
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (cause) {
    return fail({ field: '(root)', reason: 'is not valid JSON' }, cause);
  }
  const parsed = recordSchema.safeParse(json);
  if (!parsed.success) {
    return fail(describeSchemaError(parsed.error));
  }
  const decoded = decodeJson(parsed.data);
  return decoded.isErr() ? fail(decoded.error) : ok(decoded.value);
};
