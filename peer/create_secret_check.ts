import { createHash, timingSafeEqual } from 'node:crypto';

const digest = (text: string) => createHash('sha256').update(text).digest();

/**
 * Creates a comparison with a secret whose time does not depend on content or length.
 *
 * @param expected The secret.
 * @returns Tells whether a given text is the secret.
 *
 * @example
 * const isFleetCredential = createSecretCheck(`Bearer ${credential}`);
 */
export const createSecretCheck = (expected: string) => {
  const expectedDigest = digest(expected);
  return (given: string): boolean => timingSafeEqual(digest(given), expectedDigest);
};
