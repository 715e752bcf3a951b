import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Kinds of faults that a run may meet. */
export const faultKinds = [
  'cut one way', 'cut two ways', 'cut from store', 'isolate', 'pause', 'freeze upstream', 'kill',
  'planned stop', 'store slow', 'store down', 'reply lost',
] as const;

/** Kind of a fault. */
export type FaultKind = (typeof faultKinds)[number];

/** A fault that begins and ends at given times, in ms since the start of the faults. */
export interface Fault {
  readonly kind: FaultKind;
  readonly startMs: number;
  readonly durationMs: number;
  readonly node: string;
  /** The other end of a cut link. */
  readonly other: string;
}

/** Time in ms in which faults begin. */
export const FAULT_PERIOD_MS = 8000;
const MIN_FAULTS = 2;
const MAX_FAULTS = 5;
const MIN_DURATION_MS = 50;
const MAX_DURATION_MS = 3500;
const SEED_FACTOR = 0x9e3779b1;

/** Creates a random source; neighbouring seeds give unrelated numbers. */
export const createRandom = (seed: number) => xoroshiro128plus(Math.imul(seed + 1, SEED_FACTOR));

/**
 * Chooses the faults of a run. Every second fault begins together with the one before it.
 *
 * @param seed Seed of the choice.
 * @param nodes Names of the nodes.
 * @returns The faults in order of time.
 *
 * @example
 * const schedule = createSchedule(7, ['n0', 'n1', 'n2', 'n3']);
 */
export const createSchedule = (seed: number, nodes: readonly string[]): readonly Fault[] => {
  const random = createRandom(seed);
  const below = (limit: number) => uniformInt(random, 0, limit - 1);
  const faults: Fault[] = [];
  const count = MIN_FAULTS + below(MAX_FAULTS - MIN_FAULTS + 1);
  for (let index = 0; index < count; index += 1) {
    const previous = index % 2 === 1 ? faults[index - 1] : undefined;
    const node = below(nodes.length);
    const other = (node + 1 + below(nodes.length - 1)) % nodes.length;
    faults.push({
      kind: faultKinds[below(faultKinds.length)]!,
      startMs: previous?.startMs ?? below(FAULT_PERIOD_MS),
      durationMs: MIN_DURATION_MS + below(MAX_DURATION_MS),
      node: nodes[node]!,
      other: nodes[other]!,
    });
  }
  return faults.sort((left, right) => left.startMs - right.startMs);
};

/** Describes a fault in one line. */
export const describeFault = ({
  kind, startMs, durationMs, node, other,
}: Fault): string => {
  const isOfStore = kind === 'store slow' || kind === 'store down' || kind === 'reply lost';
  const target = kind.endsWith('way') || kind.endsWith('ways') ? `${node} to ${other}` : node;
  return `${kind}${isOfStore ? '' : ` ${target}`} at ${startMs} ms for ${durationMs} ms`;
};
