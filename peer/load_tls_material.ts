import { readFile } from 'node:fs/promises';

/** Paths of the PEM files for mutual TLS. */
export interface PeerTlsFiles {
  readonly keyFile: string;
  readonly certificateFile: string;
  /** Certificates of the authorities that sign the certificates of the other side. */
  readonly authorityFile: string;
}

/** Contents of the PEM files for mutual TLS, with the names that `node:tls` takes. */
export interface TlsMaterial {
  readonly key: Buffer;
  readonly cert: Buffer;
  readonly ca: Buffer;
}

/**
 * Reads the PEM files for mutual TLS.
 *
 * @param files Paths of the files.
 * @returns The contents. It rejects when a file cannot be read.
 *
 * @example
 * const tls = await loadTlsMaterial({ keyFile, certificateFile, authorityFile });
 */
export const loadTlsMaterial = async (files: PeerTlsFiles): Promise<TlsMaterial> => {
  const [key, cert, ca] = await Promise.all([
    readFile(files.keyFile), readFile(files.certificateFile), readFile(files.authorityFile),
  ]);
  return { key, cert, ca };
};
