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

/** A host name, an IPv4 address or an IPv6 address in brackets, and a port. */
const ADDRESS_PATTERN = /^(?:[\da-z][\d.a-z-]*|\[[\d:a-f]+\]):[1-9]\d{0,4}$/iu;
const MAX_ADDRESS_LENGTH = 255;

/**
 * Returns whether a text is an address to which a connection can be attempted: a host and a port
 * from 1 to 65,535.
 *
 * @param text Text from another process.
 * @returns Whether the text is an address.
 *
 * @example
 * isAddress('10.0.0.2:70000'); // false
 */
export const isAddress = (text: string): boolean => (
  text.length <= MAX_ADDRESS_LENGTH && ADDRESS_PATTERN.test(text) && URL.canParse(`http://${text}`)
);
