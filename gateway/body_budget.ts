/** Limits the memory of all request bodies that a process keeps at once. */
export interface BodyBudget {
  /** Opens the account of one body, without any memory. */
  readonly open: () => BodyReservation;
  /** Returns the bytes that are reserved for all bodies. */
  readonly reservedBytes: () => number;
}

/** The memory that is reserved for one body. */
export interface BodyReservation {
  /** Reserves more bytes; returns false if there is no room for them. */
  readonly reserve: (bytes: number) => boolean;
  /** Returns all bytes of this body. */
  readonly release: () => void;
}

/**
 * Creates the budget of a process. A limit for each body alone would let a few large ones, which
 * callers may send at the same time, exceed the memory of the host.
 *
 * @param maxBytes Largest number of bytes of all bodies.
 * @returns The budget.
 *
 * @example
 * const budget = createBodyBudget(83_886_080);
 * const reservation = budget.open();
 * if (!reservation.reserve(1024)) refuse();
 */
export const createBodyBudget = (maxBytes: number): BodyBudget => {
  let total = 0;
  return {
    open: () => {
      let reserved = 0;
      let isReleased = false;
      return {
        reserve: (bytes) => {
          if (isReleased || total + bytes > maxBytes) return false;
          total += bytes;
          reserved += bytes;
          return true;
        },
        release: () => {
          total -= reserved;
          reserved = 0;
          isReleased = true;
        },
      };
    },
    reservedBytes: () => total,
  };
};
