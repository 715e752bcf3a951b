import * as z from 'zod';

const grantSchema = z.object({
  token: z.int().min(0),
  slots: z.array(z.int().min(0)),
  hotKeys: z.array(z.string()),
});

/** Fencing tokens of the grants that a stand-in upstream has received. */
export interface GrantTable {
  /** Applies a grant (`PUT`) or revocation (`DELETE`); false if it is malformed or stale. */
  readonly apply: (method: string, body: unknown) => boolean;
  readonly isGranted: (slot: number, token: number) => boolean;
}

export const createGrantTable = (): GrantTable => {
  const highestTokens = new Map<number, number>();
  const grantedTokens = new Map<number, number>();
  /** Tokens of hot keys, whose owner may differ from that of their slot. */
  const hotKeyTokens = new Map<string, number>();

  const apply: GrantTable['apply'] = (method, body) => {
    const parsed = grantSchema.safeParse(body);
    if (!parsed.success) return false;
    const { token, slots, hotKeys } = parsed.data;
    for (const slot of slots) if ((highestTokens.get(slot) ?? 0) > token) return false;
    for (const slot of slots) {
      highestTokens.set(slot, token);
      if (method === 'DELETE') grantedTokens.delete(slot);
      else grantedTokens.set(slot, token);
    }
    for (const key of hotKeys) {
      if (method === 'DELETE') hotKeyTokens.delete(key);
      else hotKeyTokens.set(key, token);
    }
    return true;
  };

  return {
    apply,
    isGranted: (slot, token) => grantedTokens.get(slot) === token
      || [...hotKeyTokens.values()].includes(token),
  };
};
