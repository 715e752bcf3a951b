import type { RouteKind } from '../contract/mod.ts';

/** Bytes that a request and its response take between nodes, learned for each route kind. */
export interface TransferSizes {
  readonly record: (kind: RouteKind, bytes: number) => void;
  /** Returns the mean size in kilobytes of request and response. */
  readonly kilobytesOf: (kind: RouteKind) => number;
}

const SAMPLE_WEIGHT = 0.05;
const BYTES_PER_KILOBYTE = 1024;
/** Sizes in kilobytes until the first sample; a download is assumed to be large. */
const INITIAL_KILOBYTES: Readonly<Record<RouteKind, number>> = {
  safe: 2, unsafe: 2, download: 64,
};

/**
 * Creates sizes without samples.
 *
 * @returns The sizes.
 *
 * @example
 * sizes.record('download', 90_000);
 * sizes.kilobytesOf('download');
 */
export const createTransferSizes = (): TransferSizes => {
  const kilobytesByKind = { ...INITIAL_KILOBYTES };
  return {
    record: (kind, bytes) => {
      const known = kilobytesByKind[kind];
      kilobytesByKind[kind] = known + (bytes / BYTES_PER_KILOBYTE - known) * SAMPLE_WEIGHT;
    },
    kilobytesOf: (kind) => kilobytesByKind[kind],
  };
};
