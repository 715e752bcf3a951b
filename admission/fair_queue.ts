/** The scheduling attributes of an entry. */
export interface FairQueueEntry {
  readonly customer: string;
  /** Weight of the customer in fair queueing. */
  readonly share: number;
  /** Monotonic time in ms. */
  readonly deadlineAt: number;
}

/** Fair queue between customers; the entries of one customer are ordered by deadline. */
export interface FairQueue<Entry extends FairQueueEntry> {
  readonly push: (entry: Entry) => void;
  /** Charges an entry as `push` and `pop` would; the queue must be empty. */
  readonly charge: (entry: FairQueueEntry) => void;
  /** Removes the next entry and charges its customer. */
  readonly pop: () => Entry | undefined;
  /** Removes an entry without charging its customer; false when it is not queued. */
  readonly remove: (entry: Entry) => boolean;
  /**
   * Removes late entries without charging their customers. It stops at the first entry of each
   * customer that is not late.
   */
  readonly removeLate: (isLate: (entry: Entry) => boolean) => readonly Entry[];
  /** The last entry of the customer with the most entries relative to its share. */
  readonly evictionCandidate: () => Entry | undefined;
  /** Estimated number of entries served before a new one, by the shares of the queued customers. */
  readonly countAhead: (entry: FairQueueEntry) => number;
  readonly earliestDeadline: () => number;
  readonly size: () => number;
}

interface CustomerQueue<Entry> {
  share: number;
  /** Start tag of the next entry, in virtual time. */
  startTag: number;
  /** In ascending order of deadline. */
  readonly entries: Entry[];
}

const MAX_IDLE_CUSTOMERS = 1024;

const insertByDeadline = <Entry extends FairQueueEntry>(entries: Entry[], entry: Entry) => {
  let index = entries.length;
  while (index > 0 && entries[index - 1]!.deadlineAt > entry.deadlineAt) index -= 1;
  entries.splice(index, 0, entry);
};

/**
 * Creates a queue that uses start-time fair queueing: each entry advances the start tag of its
 * customer by 1 / share, and the customer with the lowest start tag is served first. A customer
 * that was idle starts at the current virtual time, so that it neither accumulates credit nor is
 * charged for the time of others.
 *
 * @returns An empty queue.
 *
 * @example
 * const queue = createFairQueue<FairQueueEntry>();
 * queue.push({ customer: 'a', share: 1, deadlineAt: 100 });
 * const next = queue.pop();
 */
export const createFairQueue = <Entry extends FairQueueEntry>(): FairQueue<Entry> => {
  const backlogged = new Map<string, CustomerQueue<Entry>>();
  /** Lowest start tags of customers without entries. */
  const idleStartTags = new Map<string, number>();
  let virtualTime = 0;
  let size = 0;

  const evictIdleCustomers = () => {
    if (idleStartTags.size <= MAX_IDLE_CUSTOMERS) return;
    for (const [customer, startTag] of idleStartTags) {
      if (startTag <= virtualTime) idleStartTags.delete(customer);
    }
  };

  const removeIfEmpty = (customer: string, queue: CustomerQueue<Entry>) => {
    if (queue.entries.length > 0) return;
    backlogged.delete(customer);
    idleStartTags.set(customer, queue.startTag);
    evictIdleCustomers();
  };

  const push: FairQueue<Entry>['push'] = (entry) => {
    let queue = backlogged.get(entry.customer);
    if (queue === undefined) {
      const startTag = Math.max(virtualTime, idleStartTags.get(entry.customer) ?? 0);
      queue = { share: entry.share, startTag, entries: [] };
      backlogged.set(entry.customer, queue);
      idleStartTags.delete(entry.customer);
    }
    queue.share = entry.share;
    insertByDeadline(queue.entries, entry);
    size += 1;
  };

  const charge: FairQueue<Entry>['charge'] = ({ customer, share }) => {
    virtualTime = Math.max(virtualTime, idleStartTags.get(customer) ?? 0);
    idleStartTags.set(customer, virtualTime + 1 / share);
    evictIdleCustomers();
  };

  const pop: FairQueue<Entry>['pop'] = () => {
    let first: CustomerQueue<Entry> | undefined;
    for (const queue of backlogged.values()) {
      if (first === undefined || queue.startTag < first.startTag) first = queue;
    }
    const entry = first?.entries.shift();
    if (first === undefined || entry === undefined) return undefined;
    virtualTime = first.startTag;
    first.startTag += 1 / entry.share;
    size -= 1;
    removeIfEmpty(entry.customer, first);
    return entry;
  };

  const remove: FairQueue<Entry>['remove'] = (entry) => {
    const queue = backlogged.get(entry.customer);
    const index = queue?.entries.indexOf(entry) ?? -1;
    if (queue === undefined || index < 0) return false;
    queue.entries.splice(index, 1);
    size -= 1;
    removeIfEmpty(entry.customer, queue);
    return true;
  };

  const removeLate: FairQueue<Entry>['removeLate'] = (isLate) => {
    const late: Entry[] = [];
    for (const [customer, queue] of backlogged) {
      if (!isLate(queue.entries[0]!)) continue;
      while (queue.entries[0] !== undefined && isLate(queue.entries[0])) {
        late.push(queue.entries.shift()!);
        size -= 1;
      }
      removeIfEmpty(customer, queue);
    }
    return late;
  };

  const evictionCandidate: FairQueue<Entry>['evictionCandidate'] = () => {
    let largest: CustomerQueue<Entry> | undefined;
    let largestBacklog = 0;
    for (const queue of backlogged.values()) {
      const backlog = queue.entries.length / queue.share;
      if (backlog > largestBacklog) {
        largest = queue;
        largestBacklog = backlog;
      }
    }
    return largest?.entries.at(-1);
  };

  const countAhead: FairQueue<Entry>['countAhead'] = (entry) => {
    const own = backlogged.get(entry.customer);
    let ownAhead = own?.entries.length ?? 0;
    while (ownAhead > 0 && own!.entries[ownAhead - 1]!.deadlineAt > entry.deadlineAt) ownAhead -= 1;
    const virtualSpan = (ownAhead + 1) / entry.share;
    let ahead = ownAhead;
    for (const [customer, queue] of backlogged) {
      if (customer === entry.customer) continue;
      ahead += Math.min(queue.entries.length, virtualSpan * queue.share);
    }
    return ahead;
  };

  return {
    push,
    charge,
    pop,
    remove,
    removeLate,
    evictionCandidate,
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
