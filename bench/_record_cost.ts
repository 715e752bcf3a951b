import {
  beginTakeover, decodeRecord, encodeRecord, type OwnerId, type PlacementRecord,
} from '../placement/mod.ts';
import { createPlaces, createSyntheticRecord } from './_synthetic_record.ts';

/** Size and processor time of a placement record. */
export interface RecordCost {
  readonly bytes: number;
  readonly encodeMs: number;
  readonly decodeMs: number;
}

/** Cost of the loss of one failure domain, one write of the record for each lost owner. */
export interface DomainLossCost {
  readonly lostOwners: number;
  /** Owners whose removal was measured; time and bytes are scaled to all lost ones. */
  readonly measuredOwners: number;
  /** Time to decode, change and encode the record once for each lost owner. */
  readonly processorMs: number;
  readonly writtenBytes: number;
  /** Owners that got slots in the measured removals; each clears them by a write of its own. */
  readonly receivers: number;
}

const SERVICE = 'ledger';
const SLOT_COUNT = 32_768;
const OWNERS = 510;
const REPEATS = 5;
const MEASURED_OWNERS = 6;

const medianMs = (run: () => unknown) => {
  const times = Array.from({ length: REPEATS }, () => {
    const startMs = performance.now();
    run();
    return performance.now() - startMs;
  });
  return times.sort((left, right) => left - right)[Math.floor(REPEATS / 2)]!;
};

const createFull = (tokens: number, seed: number) => (
  createSyntheticRecord(SERVICE, createPlaces(OWNERS), { slotCount: SLOT_COUNT, tokens, seed })
);

const decode = (value: string): PlacementRecord => {
  const decoded = decodeRecord(value, SERVICE);
  if (decoded.isErr()) throw decoded.error;
  return decoded.value;
};

/** Measures a record of 510 owners; `tokens` is the number of different fencing tokens. */
export const measureRecord = (tokens: number, seed: number): RecordCost => {
  const record = createFull(tokens, seed);
  const value = encodeRecord(record);
  return {
    bytes: Buffer.byteLength(value),
    encodeMs: medianMs(() => encodeRecord(record)),
    decodeMs: medianMs(() => decode(value)),
  };
};

/** Measures the writes after the loss of one of five failure domains. */
export const measureDomainLoss = (tokens: number, seed: number): DomainLossCost => {
  const start = createFull(tokens, seed);
  const domain = start.owners[0]!.failureDomain;
  const lost: readonly OwnerId[] = start.owners
    .filter(({ failureDomain }) => failureDomain === domain)
    .map(({ id }) => id);
  let value = encodeRecord(start);
  let writtenBytes = 0;
  const startMs = performance.now();
  const measured = lost.slice(0, MEASURED_OWNERS);
  for (const id of measured) {
    value = encodeRecord(beginTakeover(decode(value), id, { avoid: lost })!);
    writtenBytes += Buffer.byteLength(value);
  }
  const processorMs = performance.now() - startMs;
  const receivers = new Set(decode(value).slots
    .filter(({ predecessors }) => predecessors.length > 0)
    .map(({ owner }) => owner));
  const scale = lost.length / measured.length;
  return {
    lostOwners: lost.length,
    measuredOwners: measured.length,
    processorMs: processorMs * scale,
    writtenBytes: Math.round(writtenBytes * scale),
    receivers: receivers.size,
  };
};
