/**
 * Splits an address into host and port.
 *
 * @param address Host and port separated by a colon; an IPv6 host is in brackets.
 * @returns The host without brackets, and the port.
 *
 * @example
 * splitAddress('[::1]:8080'); // { host: '::1', port: 8080 }
 */
export const splitAddress = (address: string) => {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[(.*)\]$/u, '$1');
  return { host, port: Number(address.slice(separator + 1)) };
};
