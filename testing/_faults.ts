import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Kinds of faults that can be injected into a simulation. */
export const faultKinds = [
  'cut one way', 'cut two ways', 'cut from store', 'isolate', 'pause', 'freeze upstream', 'kill',
  'planned stop', 'store slow', 'store down', 'reply lost',
] as const;

/** Kind of a fault. */
export type FaultKind = (typeof faultKinds)[number];

/** A fault with its start, in ms since the start of the schedule, and its duration. */
export interface Fault {
  readonly kind: FaultKind;
  readonly startMs: number;
  readonly durationMs: number;
  readonly node: string;
  /** The other end of the link, for faults that cut one. */
  readonly other: string;
}

/** Length in ms of the time window in which faults start. */
export const FAULT_WINDOW_MS = 8000;
const MIN_FAULTS = 2;
const MAX_FAULTS = 5;
const MIN_DURATION_MS = 50;
const MAX_DURATION_MS = 3500;
const SEED_FACTOR = 0x9e3779b1;

/** Creates a random generator; the factor decorrelates the sequences of consecutive seeds. */
export const createRandom = (seed: number) => xoroshiro128plus(Math.imul(seed + 1, SEED_FACTOR));

/**
 * Chooses the faults of a simulation. Every second fault starts together with the one before it.
 *
 * @param seed Seed of the random generator.
 * @param nodes Names of the nodes.
 * @returns The faults in order of their start.
 *
 * @example
 * const schedule = createSchedule(7, ['n0', 'n1', 'n2', 'n3']);
 */
export const createFaultSchedule = (seed: number, nodes: readonly string[]): readonly Fault[] => {
  const random = createRandom(seed);
  const randomBelow = (limit: number) => uniformInt(random, 0, limit - 1);
  const faults: Fault[] = [];
  const count = MIN_FAULTS + randomBelow(MAX_FAULTS - MIN_FAULTS + 1);
  for (let index = 0; index < count; index += 1) {
    const previous = index % 2 === 1 ? faults[index - 1] : undefined;
    const node = randomBelow(nodes.length);
    const other = (node + 1 + randomBelow(nodes.length - 1)) % nodes.length;
    faults.push({
      kind: faultKinds[randomBelow(faultKinds.length)]!,
      startMs: previous?.startMs ?? randomBelow(FAULT_WINDOW_MS),
      durationMs: MIN_DURATION_MS + randomBelow(MAX_DURATION_MS),
      node: nodes[node]!,
      other: nodes[other]!,
    });
  }
  return faults.sort((left, right) => left.startMs - right.startMs);
};

/** Formats a fault as one line of text. */
export const describeFault = ({
  kind, startMs, durationMs, node, other,
}: Fault): string => {
  const isStoreFault = kind === 'store slow' || kind === 'store down' || kind === 'reply lost';
  const target = kind.endsWith('way') || kind.endsWith('ways') ? `${node} to ${other}` : node;
  return `${kind}${isStoreFault ? '' : ` ${target}`} at ${startMs} ms for ${durationMs} ms`;
};
