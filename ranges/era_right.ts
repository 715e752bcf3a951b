import type { StoreEras } from '../store/mod.ts';
import type { RightToGrant } from './right_to_grant.ts';

/** A right to grant that is not renewed from a rise of the store's era until it is resumed. */
export interface EraRight extends RightToGrant {
  /** Lets the store confirm the right again, as it has all that this node knows. */
  readonly resume: () => void;
}

/**
 * Suspends the renewal of a right at each rise of the era. The right of the earlier era then ends
 * before others take over the keys of a node that has not written what it knows about them.
 *
 * @param right The right to grant.
 * @param eras Eras of the store.
 * @returns The right, which ends by itself unless it is resumed.
 *
 * @example
 * const right = createEraRight(createRightToGrant(clock, RIGHT_TO_GRANT_MS), eras);
 */
export const createEraRight = (
  right: RightToGrant,
  eras: Pick<StoreEras, 'onRise'>,
): EraRight => {
  let isSuspended = false;
  eras.onRise(() => {
    isSuspended = true;
  });
  return {
    ...right,
    confirm: (sent) => {
      if (!isSuspended) right.confirm(sent);
    },
    resume: () => {
      isSuspended = false;
    },
  };
};
