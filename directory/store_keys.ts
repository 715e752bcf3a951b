/** Prefix of all keys that this project writes to the store. */
export const KEY_PREFIX = 'marjoramhollow/';
/** Prefix of the node entries. */
export const NODES_PREFIX = `${KEY_PREFIX}nodes/`;
/** Prefix of the key-range records of keyed services. */
export const RANGES_PREFIX = `${KEY_PREFIX}ranges/`;

/** Prefix of the departures, which only the node that wrote them reads. */
const DEPARTURES_PREFIX = 'marjoramhollow.departures/';

/** Returns the store key of the departures that a node has acknowledged. */
export const departuresKey = (node: string): string => `${DEPARTURES_PREFIX}${node}`;

/**
 * Returns the store key of a node's entry.
 *
 * @example
 * nodeKey('host-1'); // 'marjoramhollow/nodes/host-1'
 */
export const nodeKey = (node: string): string => `${NODES_PREFIX}${node}`;

/** Returns the store key of the key-range record of a service. */
export const rangesKey = (service: string): string => `${RANGES_PREFIX}${service}`;
