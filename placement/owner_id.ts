import type { OwnerId } from './placement_record.ts';

/**
 * Returns the identifier of an owner. A removed owner never comes back, so a process that joins a
 * service again does so under another identifier.
 *
 * @param processId `node#incarnation` of the process.
 * @param rejoins How often the process joined the service again.
 * @returns The process identifier for the first join, `node#incarnation.N` after that.
 *
 * @example
 * createOwnerId('n1#a7', 2); // 'n1#a7.2'
 */
export const createOwnerId = (processId: OwnerId, rejoins: number): OwnerId => (
  rejoins === 0 ? processId : `${processId}.${rejoins}`
);

/**
 * Returns the identifier of the process behind an owner.
 *
 * @param ownerId Identifier of an owner or of a process.
 * @returns `node#incarnation`.
 *
 * @example
 * processIdOf('n1#a7.2'); // 'n1#a7'
 */
export const processIdOf = (ownerId: OwnerId): OwnerId => {
  const separator = ownerId.indexOf('.', ownerId.lastIndexOf('#'));
  return separator === -1 ? ownerId : ownerId.slice(0, separator);
};
