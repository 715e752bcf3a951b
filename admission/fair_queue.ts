/** What the queue needs to know about an entry. */
export interface FairQueueEntry {
  readonly customer: string;
  /** Weight of the customer. */
  readonly share: number;
  /** Monotonic time in ms. */
  readonly deadlineAt: number;
}

/** Entries of one class: fair between customers, by deadline within a customer. */
export interface FairQueue<Entry extends FairQueueEntry> {
  readonly push: (entry: Entry) => void;
  /** Charges an entry as `push` and `pop` do; only for an empty queue. */
  readonly charge: (entry: FairQueueEntry) => void;
  /** Removes the next entry and charges its customer. */
  readonly pop: () => Entry | undefined;
  /** Removes an entry without charge; false when it is not queued. */
  readonly remove: (entry: Entry) => boolean;
  /** Removes, without charge, entries at the heads of the customers for which `isLate` holds. */
  readonly takeLate: (isLate: (entry: Entry) => boolean) => readonly Entry[];
  /** The latest entry of the customer with the most entries for its share. */
  readonly mostExcessive: () => Entry | undefined;
  /** Number of entries that would be served before a new one, by the shares now queued. */
  readonly countAhead: (entry: FairQueueEntry) => number;
  readonly earliestDeadline: () => number;
  readonly size: () => number;
}

interface CustomerQueue<Entry> {
  share: number;
  /** Virtual time at which the next entry starts. */
  start: number;
  /** Ascending by deadline. */
  readonly entries: Entry[];
}

const MAX_IDLE_CUSTOMERS = 1024;

const insertByDeadline = <Entry extends FairQueueEntry>(entries: Entry[], entry: Entry) => {
  let index = entries.length;
  while (index > 0 && entries[index - 1]!.deadlineAt > entry.deadlineAt) index -= 1;
  entries.splice(index, 0, entry);
};

/**
 * Creates a queue by start-time fair queueing: each entry costs its customer 1 / share of virtual
 * time, and the customer with the earliest start is served first. A customer that was idle starts
 * at the present virtual time, so it neither saves up credit nor pays for others.
 *
 * @returns The queue, empty.
 *
 * @example
 * const queue = createFairQueue<FairQueueEntry>();
 * queue.push({ customer: 'a', share: 1, deadlineAt: 100 });
 * const next = queue.pop();
 */
export const createFairQueue = <Entry extends FairQueueEntry>(): FairQueue<Entry> => {
  const backlogged = new Map<string, CustomerQueue<Entry>>();
  /** Virtual times at which customers without entries may start again. */
  const idleStarts = new Map<string, number>();
  let virtualTime = 0;
  let size = 0;

  const forgetIdle = () => {
    if (idleStarts.size <= MAX_IDLE_CUSTOMERS) return;
    for (const [customer, start] of idleStarts) {
      if (start <= virtualTime) idleStarts.delete(customer);
    }
  };

  const retireIfEmpty = (customer: string, queue: CustomerQueue<Entry>) => {
    if (queue.entries.length > 0) return;
    backlogged.delete(customer);
    idleStarts.set(customer, queue.start);
    forgetIdle();
  };

  const push: FairQueue<Entry>['push'] = (entry) => {
    let queue = backlogged.get(entry.customer);
    if (queue === undefined) {
      const start = Math.max(virtualTime, idleStarts.get(entry.customer) ?? 0);
      queue = { share: entry.share, start, entries: [] };
      backlogged.set(entry.customer, queue);
      idleStarts.delete(entry.customer);
    }
    queue.share = entry.share;
    insertByDeadline(queue.entries, entry);
    size += 1;
  };

  const charge: FairQueue<Entry>['charge'] = ({ customer, share }) => {
    virtualTime = Math.max(virtualTime, idleStarts.get(customer) ?? 0);
    idleStarts.set(customer, virtualTime + 1 / share);
    forgetIdle();
  };

  const pop: FairQueue<Entry>['pop'] = () => {
    let first: CustomerQueue<Entry> | undefined;
    for (const queue of backlogged.values()) {
      if (first === undefined || queue.start < first.start) first = queue;
    }
    const entry = first?.entries.shift();
    if (first === undefined || entry === undefined) return undefined;
    virtualTime = first.start;
    first.start += 1 / entry.share;
    size -= 1;
    retireIfEmpty(entry.customer, first);
    return entry;
  };

  const remove: FairQueue<Entry>['remove'] = (entry) => {
    const queue = backlogged.get(entry.customer);
    const index = queue?.entries.indexOf(entry) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.entries.splice(index, 1);
    size -= 1;
    retireIfEmpty(entry.customer, queue);
    return true;
  };

  const takeLate: FairQueue<Entry>['takeLate'] = (isLate) => {
    const late: Entry[] = [];
    for (const [customer, queue] of backlogged) {
      if (!isLate(queue.entries[0]!)) continue;
      while (queue.entries[0] !== undefined && isLate(queue.entries[0])) {
        late.push(queue.entries.shift()!);
        size -= 1;
      }
      retireIfEmpty(customer, queue);
    }
    return late;
  };

  const mostExcessive: FairQueue<Entry>['mostExcessive'] = () => {
    let worst: CustomerQueue<Entry> | undefined;
    let worstExcess = 0;
    for (const queue of backlogged.values()) {
      const excess = queue.entries.length / queue.share;
      if (excess > worstExcess) {
        worst = queue;
        worstExcess = excess;
      }
    }
    return worst?.entries.at(-1);
  };

  const countAhead: FairQueue<Entry>['countAhead'] = (entry) => {
    const own = backlogged.get(entry.customer);
    let ownAhead = own?.entries.length ?? 0;
    while (ownAhead > 0 && own!.entries[ownAhead - 1]!.deadlineAt > entry.deadlineAt) ownAhead -= 1;
    const finish = (ownAhead + 1) / entry.share;
    let ahead = ownAhead;
    for (const [customer, queue] of backlogged) {
      if (customer === entry.customer) continue;
      ahead += Math.min(queue.entries.length, finish * queue.share);
    }
    return ahead;
  };

  return {
    push,
    charge,
    pop,
    remove,
    takeLate,
    mostExcessive,
    countAhead,
    earliestDeadline: () => {
      let earliest = Infinity;
      for (const { entries } of backlogged.values()) {
        earliest = Math.min(earliest, entries[0]?.deadlineAt ?? Infinity);
      }
      return earliest;
    },
    size: () => size,
  };
};
