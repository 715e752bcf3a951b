import { err, ok, Result } from 'neverthrow';
import { describeProblem, type FieldProblem, StepError } from '../errors/mod.ts';
import { type HolderJson, type RecordJson, recordSchema } from './_record_schema.ts';
import { parseRanges } from './_slot_ranges.ts';
import type { Owner, PlacementRecord, SlotState } from './placement_record.ts';

const STEP = 'placement.decode';

type Decoded<T> = Result<T, FieldProblem>;

const NO_INDEXES: readonly number[] = [];

const lookUp = <T>(
  table: readonly T[],
  indexes: readonly number[],
  field: string,
): Decoded<readonly T[]> => {
  const found: T[] = [];
  for (const [position, index] of indexes.entries()) {
    const item = table[index];
    if (item === undefined) {
      return err({ field: `${field}.${position}`, reason: `${index} is not in the table` });
    }
    found.push(item);
  }
  return ok(found);
};

const decodeOwners = (json: RecordJson): Decoded<readonly Owner[]> => {
  const owners: Owner[] = [];
  const ids = new Set<string>();
  for (const [position, owner] of json.owners.entries()) {
    const field = `owners.${position}`;
    const id = `${owner.node}#${owner.incarnation}`;
    if (ids.has(id)) return err({ field, reason: `'${id}' is given twice` });
    ids.add(id);
    const witnesses = lookUp(json.witnesses, owner.witnesses, `${field}.witnesses`);
    if (witnesses.isErr()) return err(witnesses.error);
    const former = owner.previousWitnesses ?? NO_INDEXES;
    const previous = lookUp(json.witnesses, former, `${field}.previousWitnesses`);
    if (previous.isErr()) return err(previous.error);
    owners.push({
      ...owner, id, witnesses: witnesses.value, previousWitnesses: previous.value,
    });
  }
  return ok(owners);
};

type Holder = Omit<SlotState, 'token'>;

const decodeHolder = (
  ids: readonly string[],
  holder: HolderJson,
  field: string,
): Decoded<Holder> => {
  const owner = holder.owner === undefined ? undefined : ids[holder.owner];
  if (holder.owner !== undefined && owner === undefined) {
    return err({ field: `${field}.owner`, reason: `${holder.owner} is not in owners` });
  }
  const movingTo = holder.movingTo === undefined ? undefined : ids[holder.movingTo];
  if (holder.movingTo !== undefined && movingTo === undefined) {
    return err({ field: `${field}.movingTo`, reason: `${holder.movingTo} is not in owners` });
  }
  const former = holder.predecessors ?? NO_INDEXES;
  return lookUp(ids, former, `${field}.predecessors`)
    .map((predecessors) => ({ owner, predecessors, movingTo }));
};

const decodeSlots = (
  json: RecordJson,
  ids: readonly string[],
): Decoded<readonly SlotState[]> => {
  const slots = new Array<SlotState | undefined>(json.slotCount).fill(undefined);
  for (const [position, group] of json.slots.entries()) {
    const field = `slots.${position}`;
    const holder = decodeHolder(ids, group, field);
    if (holder.isErr()) return err(holder.error);
    const ranges = parseRanges(group.ranges, json.slotCount);
    if (ranges === undefined) return err({ field: `${field}.ranges`, reason: 'is malformed' });
    const { owner, predecessors, movingTo } = holder.value;
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
  const complete = slots.filter((state) => state !== undefined);
  if (complete.length === json.slotCount) return ok(complete);
  return err({ field: 'slots', reason: `slot ${slots.indexOf(undefined)} is missing` });
};

const decodeJson = (json: RecordJson): Decoded<PlacementRecord> => {
  const owners = decodeOwners(json);
  if (owners.isErr()) return err(owners.error);
  const ids = owners.value.map(({ id }) => id);
  const slots = decodeSlots(json, ids);
  if (slots.isErr()) return err(slots.error);
  const hotKeys = Result.combine(json.hotKeys.map((hotKey, position) => (
    decodeHolder(ids, hotKey, `hotKeys.${position}`)
      .map((holder) => ({ key: hotKey.key, state: { ...holder, token: hotKey.token } }))
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
 * Reads a record that `encodeRecord` wrote.
 *
 * @param text The record as JSON text.
 * @param source Where the text comes from, named in the error.
 * @returns The record, or an error that names the field at fault. Slots that are alike share one
 * object.
 *
 * @example
 * const record = decodeRecord(entry.value, entry.key);
 */
export const decodeRecord = (text: string, source = ''): Result<PlacementRecord, StepError> => {
  const fail = ({ field, reason }: FieldProblem, cause?: unknown) => (
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
    return fail(describeProblem(parsed.error));
  }
  const decoded = decodeJson(parsed.data);
  return decoded.isErr() ? fail(decoded.error) : ok(decoded.value);
};
