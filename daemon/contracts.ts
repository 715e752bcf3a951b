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

/** Key prefix of the contracts in the store. */
export const CONTRACT_PREFIX = 'contracts/';

/** Maximum number of attempts to write a contract while the outcome is unknown. */
const MAX_WRITE_ATTEMPTS = 5;

/** A contract and its revision in the store. */
export interface ContractRevision {
  readonly customer: string;
  readonly revision: number;
  readonly contract: Contract;
}

/** A contract that was not applied because its base revision is not the current one. */
export class ContractConflict extends StepError {
  /**
   * @param current The current contract, if any.
   * @param differences Changes that the rejected contract would have made.
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

/** The contracts that are active on this node. */
export interface Contracts {
  readonly compiled: () => CompiledContracts;
  readonly list: () => readonly ContractRevision[];
  readonly find: (customer: string) => ContractRevision | undefined;
  /** Stores a contract if `baseRevision` is the current revision; 0 for a new contract. */
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

const decodeEntry = (entry: StoreEntry): Result<ContractRevision, ContractError> => {
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
 * Creates the table of active contracts, which follows the changes that the relay reports.
 *
 * @param options Store, relay and logger.
 * @returns The table.
 *
 * @example
 * const contracts = createContracts({ store, relay, logger });
 * const customer = contracts.compiled().findContract(token);
 */
export const createContracts = (
  options: { readonly store: Store; readonly relay: Relay; readonly logger: Logger },
): Contracts => {
  const { store, relay, logger } = options;
  const activeContracts = new Map<string, ContractRevision>();
  let compiled = compileContracts([]);

  const applyEntry = (entry: StoreEntry) => {
    const decoded = decodeEntry(entry);
    if (decoded.isErr()) {
      logger.error({ key: entry.key, error: decoded.error.message }, 'ignored an invalid contract');
      return;
    }
    const { customer, revision } = decoded.value;
    if ((activeContracts.get(customer)?.revision ?? 0) >= revision) return;
    activeContracts.set(customer, decoded.value);
    compiled = compileContracts([...activeContracts.values()].map(({ contract }) => contract));
    logger.info({ customer, revision }, 'activated contract');
  };

  for (const entry of relay.list(CONTRACT_PREFIX)) applyEntry(entry);
  const removeListener = relay.onChange(CONTRACT_PREFIX, applyEntry);

  const findServiceConflict = (proposed: Contract): ContractError | undefined => {
    const others = [...activeContracts.values()]
      .filter(({ customer }) => customer !== proposed.customer)
      .map(({ contract }) => contract);
    const [service] = compileContracts([...others, proposed]).conflicts;
    if (service === undefined) return undefined;
    const reason = `'${service}' is defined differently in another contract`;
    return new ContractError('services', reason, { step: 'contract.apply' });
  };

  const readConflict = async (key: string, proposed: Contract) => {
    const read = await store.get(key);
    if (read.isErr()) return err(read.error);
    const current = read.value && decodeEntry(read.value).unwrapOr(undefined);
    return err(new ContractConflict(current, diffContracts(current?.contract, proposed)));
  };

  const write = async (
    proposed: Contract,
    baseRevision: number,
  ): Promise<Result<StoreEntry, StepError>> => {
    const key = `${CONTRACT_PREFIX}${proposed.customer}`;
    const writer = randomUUID();
    const value = JSON.stringify({ writer, contract: proposed });
    const uncertain = new StoreError('unknown', 'the write may have been applied and replaced', {
      step: 'contract.apply',
      peer: key,
    });
    let lastError = uncertain;
    let replyLost = false;
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
      const written = await store.compareAndSwap(key, baseRevision, value);
      if (written.isOk()) return ok({ key, revision: written.value, value });
      lastError = written.error;
      // When the reply was lost, the writer in the entry shows whether this write took effect.
      const read = await store.get(key);
      if (read.isOk() && writerOf(read.value) === writer && read.value) return ok(read.value);
      if (lastError.kind === 'conflict') {
        return replyLost ? err(uncertain) : readConflict(key, proposed);
      }
      if (lastError.kind !== 'unknown') return err(lastError);
      replyLost = true;
    }
    return err(lastError);
  };

  return {
    compiled: () => compiled,
    list: () => [...activeContracts.values()],
    find: (customer) => activeContracts.get(customer),
    apply: async (text, baseRevision, customer) => {
      const parsed = parseContract(text, 'operator');
      if (parsed.isErr()) return err(parsed.error);
      if (parsed.value.customer !== customer) {
        const reason = `is '${parsed.value.customer}', not '${customer}'`;
        return err(new ContractError('customer', reason, { step: 'contract.apply' }));
      }
      const serviceConflict = findServiceConflict(parsed.value);
      if (serviceConflict !== undefined) return err(serviceConflict);
      const written = await write(parsed.value, baseRevision);
      if (written.isErr()) return err(written.error);
      relay.publish(written.value);
      return ok({ customer, revision: written.value.revision, contract: parsed.value });
    },
    stop: removeListener,
  };
};
