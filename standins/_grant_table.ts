import * as z from 'zod';

const grantSchema = z.object({
  token: z.int().min(0),
  slots: z.array(z.int().min(0)),
  hotKeys: z.array(z.string()),
});

/** Fencing tokens that a stand-in upstream has granted, by slot. */
export interface GrantTable {
  /** Applies a grant (`PUT`) or its revocation (`DELETE`); false when a token is out of date. */
  readonly apply: (method: string, body: unknown) => boolean;
  readonly allows: (slot: number, token: number) => boolean;
}

export const createGrantTable = (): GrantTable => {
  const highest = new Map<number, number>();
  const granted = new Map<number, number>();
  /** Tokens of hot keys, which have an owner apart from their slot. */
  const hotKeyTokens = new Map<string, number>();

  const apply: GrantTable['apply'] = (method, body) => {
    const parsed = grantSchema.safeParse(body);
    if (!parsed.success) return false;
    const { token, slots, hotKeys } = parsed.data;
    for (const slot of slots) if ((highest.get(slot) ?? 0) > token) return false;
    for (const slot of slots) {
      highest.set(slot, token);
      if (method === 'DELETE') granted.delete(slot);
      else granted.set(slot, token);
    }
    for (const key of hotKeys) {
      if (method === 'DELETE') hotKeyTokens.delete(key);
      else hotKeyTokens.set(key, token);
    }
    return true;
  };

  return {
    apply,
    allows: (slot, token) => granted.get(slot) === token
      || [...hotKeyTokens.values()].includes(token),
  };
};
