import * as z from 'zod';

/** Format version of stored records; raised on changes that older programs cannot read. */
export const RECORD_FORMAT = 1;

const MAX_SLOT_COUNT = 32_768;

const text = z.string().min(1).max(200);
const index = z.int().min(0);
const isPowerOfTwo = (value: number) => Number.isInteger(Math.log2(value));

const witnessSchema = z.strictObject({ id: text, controlAddress: text, failureDomain: text });

const ownerSchema = z.strictObject({
  node: text,
  incarnation: text,
  instance: text,
  controlAddress: text,
  peerAddress: text,
  region: text,
  failureDomain: text,
  weight: z.number().positive(),
  witnesses: z.array(index),
  previousWitnesses: z.array(index).optional(),
  state: z.enum(['active', 'leaving', 'removed']),
});

/** Ownership fields; each owner is given by its index in `owners`. */
const ownershipFields = {
  owner: index.optional(),
  predecessors: z.array(index).optional(),
  movingTo: index.optional(),
};

/**
 * Slots with the same ownership. `ranges` has the form `token:first-last,slot;token:...`, with all
 * numbers in base 36 to keep the record small.
 */
const slotGroupSchema = z.strictObject({ ...ownershipFields, ranges: z.string() });

const hotKeySchema = z.strictObject({ key: z.string(), token: index, ...ownershipFields });

export const recordSchema = z.strictObject({
  format: z.literal(RECORD_FORMAT),
  service: text,
  version: index,
  writer: z.string().max(200),
  slotCount: z.int().min(1).max(MAX_SLOT_COUNT).refine(isPowerOfTwo, 'must be a power of two'),
  witnesses: z.array(witnessSchema),
  owners: z.array(ownerSchema),
  slots: z.array(slotGroupSchema),
  hotKeys: z.array(hotKeySchema),
});

export type RecordJson = z.infer<typeof recordSchema>;
export type OwnerJson = RecordJson['owners'][number];
export type SlotGroupJson = RecordJson['slots'][number];
export type OwnershipJson = Pick<SlotGroupJson, 'owner' | 'predecessors' | 'movingTo'>;
