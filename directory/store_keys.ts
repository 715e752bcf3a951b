/** Prefix of all keys that the router writes. */
export const OWN_PREFIX = 'marjoramhollow/';
/** Prefix of the entries of nodes. */
export const NODES_PREFIX = `${OWN_PREFIX}nodes/`;
/** Prefix of the range records of keyed services. */
export const RANGES_PREFIX = `${OWN_PREFIX}ranges/`;

/**
 * Key of a node's entry.
 *
 * @example
 * nodeKey('host-1'); // 'marjoramhollow/nodes/host-1'
 */
export const nodeKey = (node: string): string => `${NODES_PREFIX}${node}`;

/** Key of the range record of a service. */
export const rangesKey = (service: string): string => `${RANGES_PREFIX}${service}`;
