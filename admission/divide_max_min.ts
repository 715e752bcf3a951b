/**
 * Divides a limit by max-min fairness: no part exceeds its demand, and what small demands leave is
 * divided equally between the larger ones.
 *
 * @param limit Amount to divide.
 * @param demands The demands.
 * @returns The parts, in the order of the demands; their sum never exceeds the limit.
 *
 * @example
 * divideMaxMin(10, [1, 20, 20]); // [1, 4.5, 4.5]
 */
export const divideMaxMin = (limit: number, demands: readonly number[]): readonly number[] => {
  const order = demands.map((demand, index) => ({ demand, index }));
  order.sort((left, right) => left.demand - right.demand);
  const parts = demands.map(() => 0);
  let left = limit;
  for (const [position, { demand, index }] of order.entries()) {
    const part = Math.max(0, Math.min(demand, left / (order.length - position)));
    parts[index] = part;
    left -= part;
  }
  return parts;
};
