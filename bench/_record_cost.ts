import {
  beginTakeover, decodeRecord, encodeRecord, type OwnerId, type PlacementRecord,
} from '../placement/mod.ts';
import { createNodeDescriptors, createSyntheticRecord } from './_synthetic_record.ts';

/** Encoded size of a placement record and median time to encode and decode it. */
export interface RecordCost {
  readonly bytes: number;
  readonly encodeMs: number;
  readonly decodeMs: number;
}

/** Cost of the loss of one failure domain, with one write of the record for each lost owner. */
export interface DomainLossCost {
  readonly lostOwners: number;
  /** Owners whose removal was measured; time and bytes are extrapolated to all lost owners. */
  readonly measuredOwners: number;
  /** Time to decode, change and encode the record once for each lost owner. */
  readonly durationMs: number;
  readonly writtenBytes: number;
  /**
   * Owners that received slots in the measured removals. Each of them clears the predecessors of
   * its slots in a separate write.
   */
  readonly receivers: number;
}

const SERVICE = 'ledger';
const SLOT_COUNT = 32_768;
const OWNER_COUNT = 510;
const REPEAT_COUNT = 5;
const MEASURED_OWNER_COUNT = 6;

const medianDurationMs = (run: () => unknown) => {
  const times = Array.from({ length: REPEAT_COUNT }, () => {
    const startMs = performance.now();
    run();
    return performance.now() - startMs;
  });
  return times.sort((left, right) => left - right)[Math.floor(REPEAT_COUNT / 2)]!;
};

const createFullRecord = (tokens: number, seed: number) => (
  createSyntheticRecord(SERVICE, createNodeDescriptors(OWNER_COUNT), {
    slotCount: SLOT_COUNT, tokens, seed,
  })
);

const decode = (value: string): PlacementRecord => {
  const decoded = decodeRecord(value, SERVICE);
  if (decoded.isErr()) throw decoded.error;
  return decoded.value;
};

/** Measures a record of 510 owners with up to `tokens` different fencing tokens. */
export const measureRecord = (tokens: number, seed: number): RecordCost => {
  const record = createFullRecord(tokens, seed);
  const value = encodeRecord(record);
  return {
    bytes: Buffer.byteLength(value),
    encodeMs: medianDurationMs(() => encodeRecord(record)),
    decodeMs: medianDurationMs(() => decode(value)),
  };
};

/** Measures the record updates after the loss of one of five failure domains. */
export const measureDomainLoss = (tokens: number, seed: number): DomainLossCost => {
  const initialRecord = createFullRecord(tokens, seed);
  const domain = initialRecord.owners[0]!.failureDomain;
  const lostOwners: readonly OwnerId[] = initialRecord.owners
    .filter(({ failureDomain }) => failureDomain === domain)
    .map(({ id }) => id);
  let value = encodeRecord(initialRecord);
  let writtenBytes = 0;
  const startMs = performance.now();
  const measuredOwners = lostOwners.slice(0, MEASURED_OWNER_COUNT);
  for (const id of measuredOwners) {
    value = encodeRecord(beginTakeover(decode(value), id, { avoid: lostOwners })!);
    writtenBytes += Buffer.byteLength(value);
  }
  const durationMs = performance.now() - startMs;
  const receivers = new Set(decode(value).slots
    .filter(({ predecessors }) => predecessors.length > 0)
    .map(({ owner }) => owner));
  const scale = lostOwners.length / measuredOwners.length;
  return {
    lostOwners: lostOwners.length,
    measuredOwners: measuredOwners.length,
    durationMs: durationMs * scale,
    writtenBytes: Math.round(writtenBytes * scale),
    receivers: receivers.size,
  };
};
