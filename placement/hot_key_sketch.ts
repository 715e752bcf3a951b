/** An estimate of how often a key was seen. */
export interface HotKeyCount {
  readonly key: string;
  /** Never below the true number since the last halvings. */
  readonly count: number;
  /** The true number is at least `count - error`. */
  readonly error: number;
}

/** A space-saving sketch: the most frequent keys of a stream in bounded memory. */
export interface HotKeySketch {
  /** Counts one request for a key, in constant time. */
  readonly add: (key: string) => void;
  /** The most frequent keys, the highest count first. */
  readonly top: (limit: number) => readonly HotKeyCount[];
  /** Halves all counts, so that old requests lose their weight; call it at a fixed period. */
  readonly halve: () => void;
}

interface Counter {
  readonly count: number;
  readonly error: number;
}

/**
 * Creates a space-saving sketch. A key with more than `total / capacity` requests is always in it.
 *
 * @param capacity Number of keys that are counted at a time, at least 1.
 * @returns The sketch.
 *
 * @example
 * const sketch = createHotKeySketch(256);
 * sketch.add('gate-17');
 * const [hottest] = sketch.top(1);
 */
export const createHotKeySketch = (capacity: number): HotKeySketch => {
  const counters = new Map<string, Counter>();
  /** Keys by count, so that a key with the least count is found in constant time. */
  const buckets = new Map<number, Set<string>>();
  let least = 0;

  const put = (key: string, counter: Counter) => {
    counters.set(key, counter);
    const bucket = buckets.get(counter.count);
    if (bucket === undefined) buckets.set(counter.count, new Set([key]));
    else bucket.add(key);
  };

  const take = (key: string, { count }: Counter) => {
    counters.delete(key);
    const bucket = buckets.get(count);
    bucket?.delete(key);
    if (bucket?.size === 0) buckets.delete(count);
  };

  /** Replaces a key; the new count is one above the old one. */
  const raise = (taken: string, key: string, { count, error }: Counter) => {
    take(taken, { count, error });
    put(key, { count: count + 1, error });
    if (count === least && !buckets.has(count)) least = count + 1;
  };

  const evictFor = (key: string) => {
    const [evicted] = buckets.get(least) ?? [];
    if (evicted !== undefined) raise(evicted, key, { count: least, error: least });
  };

  return {
    add: (key) => {
      const counter = counters.get(key);
      if (counter !== undefined) raise(key, key, counter);
      else if (counters.size >= capacity) evictFor(key);
      else {
        put(key, { count: 1, error: 0 });
        least = 1;
      }
    },
    top: (limit) => [...counters]
      .map(([key, { count, error }]) => ({ key, count, error }))
      .sort((left, right) => right.count - left.count)
      .slice(0, limit),
    halve: () => {
      const former = [...counters];
      counters.clear();
      buckets.clear();
      least = Number.POSITIVE_INFINITY;
      for (const [key, { count, error }] of former) {
        const halved = Math.floor(count / 2);
        if (halved === 0) continue;
        put(key, { count: halved, error: Math.floor(error / 2) });
        least = Math.min(least, halved);
      }
    },
  };
};
