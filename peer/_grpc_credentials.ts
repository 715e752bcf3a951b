import {
  type ChannelCredentials, credentials, Metadata, ServerCredentials,
} from '@grpc/grpc-js';
import { createHash, timingSafeEqual } from 'node:crypto';
import { readFile } from 'node:fs/promises';

/** Paths of the PEM files for mutual TLS. */
export interface PeerTlsFiles {
  readonly keyFile: string;
  readonly certificateFile: string;
  /** Certificates of the authorities that sign the certificates of the peers. */
  readonly authorityFile: string;
}

/** Credentials of both ends of a control connection. */
export interface GrpcCredentials {
  readonly client: ChannelCredentials;
  readonly server: ServerCredentials;
}

export const loadGrpcCredentials = async (
  files: PeerTlsFiles | undefined,
): Promise<GrpcCredentials> => {
  if (files === undefined) {
    return { client: credentials.createInsecure(), server: ServerCredentials.createInsecure() };
  }
  const [key, certificate, authority] = await Promise.all([
    readFile(files.keyFile), readFile(files.certificateFile), readFile(files.authorityFile),
  ]);
  const pair = { private_key: key, cert_chain: certificate };
  return {
    client: credentials.createSsl(authority, key, certificate),
    server: ServerCredentials.createSsl(authority, [pair], true),
  };
};

const CREDENTIAL_FIELD = 'authorization';
const ADDRESS_FIELD = 'x-control-address';

const digest = (text: string) => createHash('sha256').update(text).digest();

/** Metadata of a stream: the fleet credential and the control address of the opener. */
export const streamMetadata = (credential: string, address: string): Metadata => {
  const metadata = new Metadata();
  metadata.set(CREDENTIAL_FIELD, `Bearer ${credential}`);
  metadata.set(ADDRESS_FIELD, address);
  return metadata;
};

/** Checks the fleet credential in a time that does not depend on its content. */
export const createCredentialCheck = (credential: string) => {
  const expected = digest(`Bearer ${credential}`);
  return (metadata: Metadata): boolean => {
    const [given] = metadata.get(CREDENTIAL_FIELD);
    return timingSafeEqual(digest(typeof given === 'string' ? given : ''), expected);
  };
};

export const advertisedAddress = (metadata: Metadata): string | undefined => {
  const [address] = metadata.get(ADDRESS_FIELD);
  return typeof address === 'string' && address !== '' ? address : undefined;
};
