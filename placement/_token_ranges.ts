const RADIX = 36;
const MAX_DIGITS = 10;

/** Slots that share one fencing token. */
export interface TokenSlots {
  readonly token: number;
  readonly slots: readonly number[];
}

const formatRange = (first: number, last: number) => {
  const start = first.toString(RADIX);
  return first === last ? start : `${start}-${last.toString(RADIX)}`;
};

const formatSlots = (slots: readonly number[]) => {
  const ranges: string[] = [];
  let [first = 0] = slots;
  for (const [position, slot] of slots.entries()) {
    if (slots[position + 1] === slot + 1) continue;
    ranges.push(formatRange(first, slot));
    first = slots[position + 1] ?? 0;
  }
  return ranges.join(',');
};

/** Formats groups of slots as text; the slots of each group must be in ascending order. */
export const formatRanges = (groups: Iterable<TokenSlots>): string => [...groups]
  .map(({ token, slots }) => `${token.toString(RADIX)}:${formatSlots(slots)}`)
  .join(';');

/** Consecutive slots with the same fencing token, both ends included. */
export interface TokenRange {
  readonly token: number;
  readonly first: number;
  readonly last: number;
}

const digitOf = (code: number) => {
  if (code >= 48 && code <= 57) return code - 48;
  return code >= 97 && code <= 122 ? code - 87 : undefined;
};

/**
 * Parses the output of `formatRanges`; returns `undefined` when the text is malformed. It scans
 * characters instead of splitting the text, because a record may hold one range for each of 32,768
 * slots.
 */
export const parseRanges = (text: string, slotCount: number): readonly TokenRange[] | undefined => {
  const ranges: TokenRange[] = [];
  let token: number | undefined;
  let first: number | undefined;
  let value = 0;
  let digits = 0;
  for (let position = 0; position <= text.length; position += 1) {
    const digit = position < text.length ? digitOf(text.charCodeAt(position)) : undefined;
    if (digit !== undefined) {
      value = value * RADIX + digit;
      digits += 1;
      continue;
    }
    if (digits === 0 || digits > MAX_DIGITS) return undefined;
    const separator = text[position] ?? ';';
    if (separator === ':' && token === undefined) token = value;
    else if (separator === '-' && token !== undefined && first === undefined) first = value;
    else if ((separator === ',' || separator === ';') && token !== undefined) {
      const start = first ?? value;
      if (value < start || value >= slotCount) return undefined;
      ranges.push({ token, first: start, last: value });
      first = undefined;
      if (separator === ';') token = undefined;
    } else return undefined;
    value = 0;
    digits = 0;
  }
  return ranges;
};
