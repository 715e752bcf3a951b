import type {
  HotKey, Owner, OwnerId, PlacementRecord, SlotState,
} from './placement_record.ts';

/** The parts of a record that a change may replace. */
type RecordParts = Partial<Pick<PlacementRecord, 'owners' | 'slots' | 'hotKeys'>>;

type Transform = (state: SlotState) => SlotState;

export const unowned: SlotState = {
  owner: undefined, token: 0, predecessors: [], movingTo: undefined,
};

/** Returns the record of the next version, or `undefined` when no part differs. */
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

/** Returns a function that gives the same object for states that are alike. */
export const createStatePool = (): Transform => {
  const pool = new Map<string, SlotState>();
  return (state) => {
    const id = JSON.stringify([state.owner, state.token, state.predecessors, state.movingTo]);
    const known = pool.get(id);
    if (known !== undefined) return known;
    pool.set(id, state);
    return state;
  };
};

/**
 * Applies a transform once to each distinct state. The array itself is returned when no state
 * changed.
 */
export const mapSlots = (
  slots: readonly SlotState[],
  transform: Transform,
): readonly SlotState[] => {
  const results = new Map<SlotState, SlotState>();
  const share = createStatePool();
  for (const state of slots) {
    if (!results.has(state)) {
      const result = transform(state);
      results.set(state, result === state ? state : share(result));
    }
  }
  for (const [state, result] of results) {
    if (state !== result) return slots.map((slot) => results.get(slot) ?? slot);
  }
  return slots;
};

/** As `mapSlots`, for the table of hot keys. */
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

/** Replaces single slots; the array itself is returned when nothing is replaced. */
export const replaceSlots = (
  slots: readonly SlotState[],
  replacements: ReadonlyMap<number, SlotState>,
): readonly SlotState[] => {
  if (replacements.size === 0) return slots;
  const share = createStatePool();
  return slots.map((state, slot) => {
    const replacement = replacements.get(slot);
    return replacement === undefined ? state : share(replacement);
  });
};

export const withoutMovesTo = (ownerId: OwnerId): Transform => (state) => (
  state.movingTo === ownerId ? { ...state, movingTo: undefined } : state
);
