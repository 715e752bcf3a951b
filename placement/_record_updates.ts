import type {
  HotKey, Owner, OwnerId, PlacementRecord, SlotState,
} from './placement_record.ts';

/** Fields of a record that a change may replace. */
type RecordParts = Partial<Pick<PlacementRecord, 'owners' | 'slots' | 'hotKeys'>>;

type Transform = (state: SlotState) => SlotState;

export const UNOWNED_STATE: SlotState = {
  owner: undefined, token: 0, predecessors: [], movingTo: undefined,
};

/** Returns the record with the next version, or `undefined` when every part is the same object. */
export const nextRecord = (
  record: PlacementRecord,
  parts: RecordParts,
): PlacementRecord | undefined => {
  const owners = parts.owners ?? record.owners;
  const slots = parts.slots ?? record.slots;
  const hotKeys = parts.hotKeys ?? record.hotKeys;
  if (owners === record.owners && slots === record.slots && hotKeys === record.hotKeys) {
    return undefined;
  }
  return {
    ...record, owners, slots, hotKeys, version: record.version + 1,
  };
};

export const findOwner = (record: PlacementRecord, ownerId: OwnerId): Owner | undefined => (
  record.owners.find((owner) => owner.id === ownerId)
);

export const replaceOwner = (record: PlacementRecord, changed: Owner): readonly Owner[] => (
  record.owners.map((owner) => (owner.id === changed.id ? changed : owner))
);

/** Returns a function that maps equal states to one shared object. */
export const createStateInterner = (): Transform => {
  const pool = new Map<string, SlotState>();
  return (state) => {
    const id = JSON.stringify([state.owner, state.token, state.predecessors, state.movingTo]);
    const existing = pool.get(id);
    if (existing !== undefined) return existing;
    pool.set(id, state);
    return state;
  };
};

/**
 * Applies a transform once to each distinct state object. Returns the same array when no state
 * changes.
 */
export const mapSlots = (
  slots: readonly SlotState[],
  transform: Transform,
): readonly SlotState[] => {
  const results = new Map<SlotState, SlotState>();
  const intern = createStateInterner();
  for (const state of slots) {
    if (!results.has(state)) {
      const result = transform(state);
      results.set(state, result === state ? state : intern(result));
    }
  }
  for (const [state, result] of results) {
    if (state !== result) return slots.map((slot) => results.get(slot) ?? slot);
  }
  return slots;
};

/** Applies a transform to each hot key; returns the same array when no state changes. */
export const mapHotKeys = (
  hotKeys: readonly HotKey[],
  transform: (state: SlotState, key: string) => SlotState,
): readonly HotKey[] => {
  const mapped = hotKeys.map((hotKey) => {
    const state = transform(hotKey.state, hotKey.key);
    return state === hotKey.state ? hotKey : { ...hotKey, state };
  });
  return mapped.some((hotKey, index) => hotKey !== hotKeys[index]) ? mapped : hotKeys;
};

/** Replaces the states of the given slots; returns the same array when there are none. */
export const replaceSlots = (
  slots: readonly SlotState[],
  replacements: ReadonlyMap<number, SlotState>,
): readonly SlotState[] => {
  if (replacements.size === 0) return slots;
  const intern = createStateInterner();
  return slots.map((state, slot) => {
    const replacement = replacements.get(slot);
    return replacement === undefined ? state : intern(replacement);
  });
};

/** Returns a transform that cancels a planned move to the given owner. */
export const cancelMovesTo = (ownerId: OwnerId): Transform => (state) => (
  state.movingTo === ownerId ? { ...state, movingTo: undefined } : state
);
