const RADIX = 36;
const NUMBER = /^[0-9a-z]{1,10}$/u;

/** Slots that share one token. */
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

/** Formats slots in rising order by token. */
export const formatRanges = (groups: Iterable<TokenSlots>): string => [...groups]
  .map(({ token, slots }) => `${token.toString(RADIX)}:${formatSlots(slots)}`)
  .join(';');

const parseNumber = (text: string | undefined) => (
  text !== undefined && NUMBER.test(text) ? Number.parseInt(text, RADIX) : undefined
);

const parseSlots = (text: string, slotCount: number): readonly number[] | undefined => {
  const slots: number[] = [];
  for (const range of text.split(',')) {
    const [start, end, ...rest] = range.split('-');
    const first = parseNumber(start);
    const last = end === undefined ? first : parseNumber(end);
    if (first === undefined || last === undefined || rest.length > 0) return undefined;
    if (last < first || last >= slotCount) return undefined;
    for (let slot = first; slot <= last; slot += 1) slots.push(slot);
  }
  return slots;
};

/** Reads what `formatRanges` wrote; `undefined` when the text is malformed. */
export const parseRanges = (
  text: string,
  slotCount: number,
): readonly TokenSlots[] | undefined => {
  const groups: TokenSlots[] = [];
  for (const part of text.split(';')) {
    const [tokenText, slotsText, ...rest] = part.split(':');
    const token = parseNumber(tokenText);
    if (token === undefined || slotsText === undefined || rest.length > 0) return undefined;
    const slots = parseSlots(slotsText, slotCount);
    if (slots === undefined) return undefined;
    groups.push({ token, slots });
  }
  return groups;
};
