import type { Dispatcher } from 'undici';

/** Returns raw headers of undici as text; names and values in turn. */
export const toStrings = (raw: Dispatcher.DispatchController['rawHeaders']): string[] => {
  const text: string[] = [];
  if (!Array.isArray(raw)) return text;
  for (const part of raw) text.push(typeof part === 'string' ? part : part.toString('latin1'));
  return text;
};
