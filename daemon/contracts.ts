import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import {
  type CompiledContracts,
  compileContracts,
  type Contract,
  type ContractDifference,
  diffContracts,
  parseContract,
} from '../contract/mod.ts';
import { ContractError, StepError, StoreError } from '../errors/mod.ts';
import type { Relay } from '../relay/mod.ts';
import type { Store, StoreEntry } from '../store/mod.ts';
import type { Logger } from '../telemetry/mod.ts';

/** Prefix of the contracts in the store. */
export const CONTRACT_PREFIX = 'contracts/';

const MAX_SETTLE_ATTEMPTS = 5;

/** A contract and the revision under which it was accepted. */
export interface ContractRevision {
  readonly customer: string;
  readonly revision: number;
  readonly contract: Contract;
}

/** A contract that was not applied because the revision has moved on. */
export class ContractConflict extends StepError {
  /**
   * @param current The contract in force, if any.
   * @param differences What the refused contract would have changed.
   *
   * @example
   * new ContractConflict(current, diffContracts(current.contract, proposed));
   */
  constructor(
    readonly current: ContractRevision | undefined,
    readonly differences: readonly ContractDifference[],
  ) {
    super(`the contract is at revision ${current?.revision ?? 0}`, { step: 'contract.apply' });
  }
}

/** The contracts in force on this node. */
export interface Contracts {
  readonly compiled: () => CompiledContracts;
  readonly list: () => readonly ContractRevision[];
  readonly find: (customer: string) => ContractRevision | undefined;
  /** Writes a contract over the revision that it was based on; 0 for a new one. */
  readonly apply: (
    text: string,
    baseRevision: number,
    customer: string,
  ) => Promise<Result<ContractRevision, ContractConflict | StepError>>;
  readonly stop: () => void;
}

interface StoredContract {
  readonly writer: string;
  readonly contract: unknown;
}

const readStored = (entry: StoreEntry): Result<ContractRevision, ContractError> => {
  let stored: StoredContract;
  try {
    stored = JSON.parse(entry.value) as StoredContract;
  } catch (cause) {
    const options = { step: 'contract.read', peer: entry.key, cause };
    return err(new ContractError('(root)', 'is not valid JSON', options));
  }
  return parseContract(JSON.stringify(stored.contract), entry.key)
    .map((contract) => ({ customer: contract.customer, revision: entry.revision, contract }));
};

const writerOf = (entry: StoreEntry | undefined): string | undefined => {
  if (entry === undefined) return undefined;
  try {
    return (JSON.parse(entry.value) as StoredContract).writer;
  } catch {
    return undefined;
  }
};

/**
 * Creates the table of contracts, kept current by the relay.
 *
 * @param options Store, relay and logger.
 * @returns The table.
 *
 * @example
 * const contracts = createContracts({ store, relay, logger });
 * const customer = contracts.compiled().findCustomer(token);
 */
export const createContracts = (
  options: { readonly store: Store; readonly relay: Relay; readonly logger: Logger },
): Contracts => {
  const { store, relay, logger } = options;
  const inForce = new Map<string, ContractRevision>();
  let compiled = compileContracts([]);

  const accept = (entry: StoreEntry) => {
    const read = readStored(entry);
    if (read.isErr()) {
      logger.error({ key: entry.key, error: read.error.message }, 'refused a stored contract');
      return;
    }
    const { customer, revision } = read.value;
    if ((inForce.get(customer)?.revision ?? 0) >= revision) return;
    inForce.set(customer, read.value);
    compiled = compileContracts([...inForce.values()].map(({ contract }) => contract));
    logger.info({ customer, revision }, 'contract is in force');
  };

  for (const entry of relay.list(CONTRACT_PREFIX)) accept(entry);
  const removeListener = relay.onChange(CONTRACT_PREFIX, accept);

  const findServiceConflict = (proposed: Contract): ContractError | undefined => {
    const others = [...inForce.values()]
      .filter(({ customer }) => customer !== proposed.customer)
      .map(({ contract }) => contract);
    const [service] = compileContracts([...others, proposed]).conflicts;
    if (service === undefined) return undefined;
    const reason = `'${service}' is defined differently in another contract`;
    return new ContractError('services', reason, { step: 'contract.apply' });
  };

  const conflictWith = async (key: string, proposed: Contract) => {
    const read = await store.get(key);
    if (read.isErr()) return err(read.error);
    const current = read.value && readStored(read.value).unwrapOr(undefined);
    return err(new ContractConflict(current, diffContracts(current?.contract, proposed)));
  };

  const write = async (
    proposed: Contract,
    baseRevision: number,
  ): Promise<Result<StoreEntry, StepError>> => {
    const key = `${CONTRACT_PREFIX}${proposed.customer}`;
    const writer = randomUUID();
    const value = JSON.stringify({ writer, contract: proposed });
    const unsettled = new StoreError('unknown', 'the write may have been applied and replaced', {
      step: 'contract.apply',
      peer: key,
    });
    let failure = unsettled;
    let replyLost = false;
    for (let attempt = 0; attempt < MAX_SETTLE_ATTEMPTS; attempt += 1) {
      const written = await store.compareAndSwap(key, baseRevision, value);
      if (written.isOk()) return ok({ key, revision: written.value, value });
      failure = written.error;
      // After a lost reply the entry itself tells whether this write took effect.
      const read = await store.get(key);
      if (read.isOk() && writerOf(read.value) === writer && read.value) return ok(read.value);
      if (failure.kind === 'conflict') {
        return replyLost ? err(unsettled) : conflictWith(key, proposed);
      }
      if (failure.kind !== 'unknown') return err(failure);
      replyLost = true;
    }
    return err(failure);
  };

  return {
    compiled: () => compiled,
    list: () => [...inForce.values()],
    find: (customer) => inForce.get(customer),
    apply: async (text, baseRevision, customer) => {
      const parsed = parseContract(text, 'operator');
      if (parsed.isErr()) return err(parsed.error);
      if (parsed.value.customer !== customer) {
        const reason = `is '${parsed.value.customer}', not '${customer}'`;
        return err(new ContractError('customer', reason, { step: 'contract.apply' }));
      }
      const problem = findServiceConflict(parsed.value);
      if (problem !== undefined) return err(problem);
      const written = await write(parsed.value, baseRevision);
      if (written.isErr()) return err(written.error);
      relay.publish(written.value);
      return ok({ customer, revision: written.value.revision, contract: parsed.value });
    },
    stop: removeListener,
  };
};
