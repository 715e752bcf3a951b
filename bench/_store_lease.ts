import type { PausableClock } from '../clock/mod.ts';
import type { Store } from '../store/mod.ts';

/** Typical of a lease in a key-value service: 3 s, renewed each second. */
const LEASE_MS = 3000;
const RENEWAL_MS = 1000;
const POLL_MS = 100;

/** One process that owns a key while it holds a lease in the store. */
export interface StoreLeaseProcess {
  readonly clock: PausableClock;
  /** Whether the process answers requests for the key now. */
  readonly serves: () => boolean;
  /** Cuts the process off from the store. */
  readonly setCut: (isCut: boolean) => void;
  readonly stop: () => void;
}

interface Lease {
  readonly holder: string;
  readonly expiresAtMs: number;
}

const KEY = 'lease/key';

/**
 * Starts a process of the naive version: the owner of a key is whoever holds a lease in the store.
 * It believes in its lease until a renewal fails or its timer ends it, without a fencing token.
 */
export const startStoreLeaseProcess = (
  name: string,
  clock: PausableClock,
  store: Store,
): StoreLeaseProcess => {
  let validUntilMs = -Infinity;
  let isHolder = false;
  let isCut = false;
  let stopped = false;

  const claim = async () => {
    const sentMs = clock.now();
    const read = await store.get(KEY);
    if (isCut || read.isErr()) return;
    const entry = read.value;
    const lease = entry && JSON.parse(entry.value) as Lease;
    const isOther = lease !== undefined && lease.holder !== name;
    if (isOther && lease.expiresAtMs > clock.now()) {
      isHolder = false;
      return;
    }
    const next: Lease = { holder: name, expiresAtMs: clock.now() + LEASE_MS };
    const written = await store.compareAndSwap(KEY, entry?.revision ?? 0, JSON.stringify(next));
    isHolder = written.isOk();
    if (isHolder) validUntilMs = sentMs + LEASE_MS;
  };

  const run = async () => {
    while (!stopped) {
      if (!isCut) await claim();
      if (clock.now() >= validUntilMs) isHolder = false;
      await clock.sleep(isHolder && !isCut ? RENEWAL_MS : POLL_MS);
    }
  };
  run();

  return {
    clock,
    serves: () => isHolder,
    setCut: (value) => {
      isCut = value;
    },
    stop: () => {
      stopped = true;
    },
  };
};
