import { request } from 'undici';
import * as z from 'zod';
import type { Clock } from '../clock/mod.ts';
import {
  type Candidate,
  keyCount,
  type KeyLoad,
  type KeyRange,
  type LoadCell,
  type LoadPicture,
  type Owner,
  ownerKey,
} from '../ranges/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** What the node of one owner measured. */
export interface LoadReport {
  /** Requests a second that the instance can serve. */
  readonly capacity: number;
  readonly cells: readonly LoadCell[];
}

/** Collects the load of the owners of a service, for the node that plans moves. */
export interface LoadCollector {
  /** This node's own report, as text for peers. */
  readonly own: () => string;
  /** Asks all owners for their load. */
  readonly collect: (owners: readonly CollectedOwner[]) => Promise<void>;
  readonly pictureOf: (owners: readonly Owner[]) => LoadPicture;
}

/** An owner and the address of its node. */
export interface CollectedOwner {
  readonly owner: Owner;
  readonly address: string;
}

/** Options of a collector. */
export interface LoadCollectorOptions {
  readonly clock: Clock;
  readonly node: string;
  readonly load: KeyLoad;
  readonly logger: Logger;
  /** Keys that this host's instance may serve. */
  readonly ownRanges: () => readonly KeyRange[];
  /** Requests a second that this host's instance can serve. */
  readonly ownCapacity: () => number;
}

/** Cells in one report; a move is at least one cell. */
const MAX_CELLS = 12;
const TIMEOUT_MS = 400;
/** A report older than this says nothing about the load of now. */
const MAX_AGE_MS = 4000;
const DEFAULT_CAPACITY = 60;

const reportSchema = z.object({
  capacity: z.number().positive(),
  cells: z.array(z.object({ from: z.int(), to: z.int(), rate: z.number().min(0) })),
});

/**
 * Creates a collector without reports.
 *
 * @param options Clock, node, own load and logger.
 * @returns The collector.
 *
 * @example
 * await collector.collect(owners);
 * const picture = collector.pictureOf(owners);
 */
export const createLoadCollector = (options: LoadCollectorOptions): LoadCollector => {
  const { clock, node } = options;
  const logger = options.logger.forPart('load');
  const reports = new Map<string, { readonly report: LoadReport; readonly at: number }>();

  const ownReport = (): LoadReport => ({
    capacity: options.ownCapacity() || DEFAULT_CAPACITY,
    cells: options.load.cells(options.ownRanges(), MAX_CELLS)
      .map(({ from, to, rate }) => ({ from, to, rate: Math.round(rate * 100) / 100 })),
  });

  const ask = async (address: string): Promise<LoadReport | undefined> => {
    try {
      const { body, statusCode } = await request(`http://${address}/marjoramhollow/load`, {
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const text = await body.text();
      if (statusCode !== 200) return undefined;
      const parsed = reportSchema.safeParse(JSON.parse(text));
      return parsed.success ? parsed.data : undefined;
    } catch (error) {
      logger.debug({ peer: address, reason: String(error) }, 'a peer did not report its load');
      return undefined;
    }
  };

  const collect: LoadCollector['collect'] = async (owners) => {
    await Promise.all(owners.map(async ({ owner, address }) => {
      const report = owner.node === node ? ownReport() : await ask(address);
      if (report !== undefined) reports.set(ownerKey(owner), { report, at: clock.now() });
    }));
    const known = new Set(owners.map(({ owner }) => ownerKey(owner)));
    for (const key of reports.keys()) if (!known.has(key)) reports.delete(key);
  };

  const pictureOf: LoadCollector['pictureOf'] = (owners) => {
    const cells: LoadCell[] = [];
    const candidates = owners.map((owner): Candidate => {
      const found = reports.get(ownerKey(owner));
      if (found === undefined || clock.now() - found.at > MAX_AGE_MS) {
        return { owner, capacity: DEFAULT_CAPACITY };
      }
      cells.push(...found.report.cells);
      return { owner, capacity: found.report.capacity };
    });
    cells.sort((left, right) => left.from - right.from || keyCount(left) - keyCount(right));
    return { candidates, cells };
  };

  return { own: () => JSON.stringify(ownReport()), collect, pictureOf };
};
