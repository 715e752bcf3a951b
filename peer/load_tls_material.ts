import { readFile } from 'node:fs/promises';

/** Paths of the PEM files for mutual TLS. */
export interface PeerTlsFiles {
  readonly keyFile: string;
  readonly certificateFile: string;
  /** Certificates of the authorities that are trusted to sign certificates of peers. */
  readonly authorityFile: string;
}

/** Contents of the PEM files for mutual TLS, under the option names of `node:tls`. */
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
