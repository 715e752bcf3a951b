import { createHash, timingSafeEqual } from 'node:crypto';

const digest = (text: string) => createHash('sha256').update(text).digest();

/**
 * Creates a constant-time check of a secret. Comparing digests hides its length too.
 *
 * @param expected The secret.
 * @returns A function that returns whether the given text equals the secret.
 *
 * @example
 * const isFleetCredential = createSecretCheck(`Bearer ${credential}`);
 */
export const createSecretCheck = (expected: string) => {
  const expectedDigest = digest(expected);
  return (given: string): boolean => timingSafeEqual(digest(given), expectedDigest);
};
