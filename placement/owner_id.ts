import type { OwnerId } from './placement_record.ts';

/**
 * Creates the identifier of an owner. A removed owner is never reinstated, so a process that
 * rejoins a service gets a new identifier.
 *
 * @param processId Identifier of the process, `node#incarnation`.
 * @param rejoins Number of times the process has rejoined the service.
 * @returns The process identifier for the first join, `node#incarnation.N` for rejoin N.
 *
 * @example
 * createOwnerId('n1#a7', 2); // 'n1#a7.2'
 */
export const createOwnerId = (processId: OwnerId, rejoins: number): OwnerId => (
  rejoins === 0 ? processId : `${processId}.${rejoins}`
);

/**
 * Returns the identifier of the process that an owner belongs to.
 *
 * @param ownerId Identifier of an owner or of a process.
 * @returns The process identifier, `node#incarnation`.
 *
 * @example
 * processIdOf('n1#a7.2'); // 'n1#a7'
 */
export const processIdOf = (ownerId: OwnerId): OwnerId => {
  const separator = ownerId.indexOf('.', ownerId.lastIndexOf('#'));
  return separator === -1 ? ownerId : ownerId.slice(0, separator);
};
