import {
  type ChannelCredentials, credentials, Metadata, ServerCredentials,
} from '@grpc/grpc-js';
import { createSecretCheck } from './create_secret_check.ts';
import { loadTlsMaterial, type PeerTlsFiles } from './load_tls_material.ts';

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
  const { key, cert, ca } = await loadTlsMaterial(files);
  const pair = { private_key: key, cert_chain: cert };
  return {
    client: credentials.createSsl(ca, key, cert),
    server: ServerCredentials.createSsl(ca, [pair], true),
  };
};

const CREDENTIAL_FIELD = 'authorization';
const ADDRESS_FIELD = 'x-control-address';

/** Metadata of a stream: the fleet credential and the control address of the opener. */
export const streamMetadata = (credential: string, address: string): Metadata => {
  const metadata = new Metadata();
  metadata.set(CREDENTIAL_FIELD, `Bearer ${credential}`);
  metadata.set(ADDRESS_FIELD, address);
  return metadata;
};

/** Checks the fleet credential in a time that does not depend on its content. */
export const createCredentialCheck = (credential: string) => {
  const isExpected = createSecretCheck(`Bearer ${credential}`);
  return (metadata: Metadata): boolean => {
    const [given] = metadata.get(CREDENTIAL_FIELD);
    return isExpected(typeof given === 'string' ? given : '');
  };
};

export const advertisedAddress = (metadata: Metadata): string | undefined => {
  const [address] = metadata.get(ADDRESS_FIELD);
  return typeof address === 'string' && address !== '' ? address : undefined;
};
