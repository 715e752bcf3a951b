/** Process ids are spread over this number of values of each of the last two octets. */
const OCTET_VALUES = 250;

/**
 * Returns a loopback address of this process alone, for servers whose ports are fixed.
 *
 * @param index Second octet, from 1 on; another address for each value.
 *
 * @example
 * const caller = `${loopbackHost(1)}:7001`;
 */
export const loopbackHost = (index: number): string => {
  const third = Math.floor(process.pid / OCTET_VALUES) % OCTET_VALUES;
  return `127.${index}.${third}.${1 + (process.pid % OCTET_VALUES)}`;
};
