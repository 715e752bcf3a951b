/** Estimated number of requests for a key. */
export interface HotKeyCount {
  readonly key: string;
  /** At least the true count since the last halvings. */
  readonly count: number;
  /** Maximum overestimate: the true count is at least `count - error`. */
  readonly error: number;
}

/** A Space-Saving sketch: finds the most frequent keys of a stream in bounded memory. */
export interface HotKeySketch {
  /** Counts one request for a key, in constant time. */
  readonly add: (key: string) => void;
  /** Returns up to `limit` of the most frequent keys, in descending order of count. */
  readonly top: (limit: number) => readonly HotKeyCount[];
  /** Halves all counts so that older requests weigh less; call it at a fixed interval. */
  readonly halve: () => void;
}

interface Counter {
  readonly count: number;
  readonly error: number;
}

/**
 * Creates a Space-Saving sketch. It always contains every key with more than `total / capacity`
 * requests.
 *
 * @param capacity Maximum number of keys counted at a time, at least 1.
 * @returns The sketch.
 *
 * @example
 * const sketch = createHotKeySketch(256);
 * sketch.add('gate-17');
 * const [hottest] = sketch.top(1);
 */
export const createHotKeySketch = (capacity: number): HotKeySketch => {
  const counters = new Map<string, Counter>();
  /** Keys by count, to find a key with the lowest count in constant time. */
  const buckets = new Map<number, Set<string>>();
  let minCount = 0;

  const insert = (key: string, counter: Counter) => {
    counters.set(key, counter);
    const bucket = buckets.get(counter.count);
    if (bucket === undefined) buckets.set(counter.count, new Set([key]));
    else bucket.add(key);
  };

  const remove = (key: string, { count }: Counter) => {
    counters.delete(key);
    const bucket = buckets.get(count);
    bucket?.delete(key);
    if (bucket?.size === 0) buckets.delete(count);
  };

  /** Increments a counter and assigns it to `key`, which may differ from the counted key. */
  const increment = (replacedKey: string, key: string, { count, error }: Counter) => {
    remove(replacedKey, { count, error });
    insert(key, { count: count + 1, error });
    if (count === minCount && !buckets.has(count)) minCount = count + 1;
  };

  const evictFor = (key: string) => {
    const [evicted] = buckets.get(minCount) ?? [];
    if (evicted !== undefined) increment(evicted, key, { count: minCount, error: minCount });
  };

  return {
    add: (key) => {
      const counter = counters.get(key);
      if (counter !== undefined) increment(key, key, counter);
      else if (counters.size >= capacity) evictFor(key);
      else {
        insert(key, { count: 1, error: 0 });
        minCount = 1;
      }
    },
    top: (limit) => [...counters]
      .map(([key, { count, error }]) => ({ key, count, error }))
      .sort((left, right) => right.count - left.count)
      .slice(0, limit),
    halve: () => {
      const previous = [...counters];
      counters.clear();
      buckets.clear();
      minCount = Number.POSITIVE_INFINITY;
      for (const [key, { count, error }] of previous) {
        const halved = Math.floor(count / 2);
        if (halved === 0) continue;
        insert(key, { count: halved, error: Math.floor(error / 2) });
        minCount = Math.min(minCount, halved);
      }
    },
  };
};
