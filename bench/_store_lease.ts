import type { PausableClock } from '../clock/mod.ts';
import type { Store } from '../store/mod.ts';

/** Typical lease in a key-value store: 3 s, renewed every second. */
const LEASE_MS = 3000;
const RENEWAL_INTERVAL_MS = 1000;
const POLL_INTERVAL_MS = 100;

/** A process that owns a key while it holds a lease in the store. */
export interface StoreLeaseProcess {
  readonly clock: PausableClock;
  /** Reports whether the process would currently serve requests for the key. */
  readonly isServing: () => boolean;
  /** Partitions the process from the store or ends the partition. */
  readonly setPartitioned: (isPartitioned: boolean) => void;
  readonly stop: () => void;
}

interface Lease {
  readonly holder: string;
  readonly expiresAtMs: number;
}

const KEY = 'lease/key';

/**
 * Starts a process of the naive version, in which the owner of a key is the holder of a lease in
 * the store. Without a fencing token, the process serves until a renewal fails or its lease timer
 * expires.
 */
export const startStoreLeaseProcess = (
  name: string,
  clock: PausableClock,
  store: Store,
): StoreLeaseProcess => {
  let validUntilMs = -Infinity;
  let isHolder = false;
  let isPartitioned = false;
  let stopped = false;

  const tryAcquireLease = async () => {
    const sentMs = clock.now();
    const read = await store.get(KEY);
    if (isPartitioned || read.isErr()) return;
    const entry = read.value;
    const lease = entry && JSON.parse(entry.value) as Lease;
    const isHeldByOther = lease !== undefined && lease.holder !== name;
    if (isHeldByOther && lease.expiresAtMs > clock.now()) {
      isHolder = false;
      return;
    }
    const next: Lease = { holder: name, expiresAtMs: clock.now() + LEASE_MS };
    const written = await store.compareAndSwap(KEY, entry?.revision ?? 0, JSON.stringify(next));
    isHolder = written.isOk();
    if (isHolder) validUntilMs = sentMs + LEASE_MS;
  };

  const renewUntilStopped = async () => {
    while (!stopped) {
      if (!isPartitioned) await tryAcquireLease();
      if (clock.now() >= validUntilMs) isHolder = false;
      await clock.sleep(isHolder && !isPartitioned ? RENEWAL_INTERVAL_MS : POLL_INTERVAL_MS);
    }
  };
  renewUntilStopped();

  return {
    clock,
    isServing: () => isHolder,
    setPartitioned: (value) => {
      isPartitioned = value;
    },
    stop: () => {
      stopped = true;
    },
  };
};
