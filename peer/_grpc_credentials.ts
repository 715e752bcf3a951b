import {
  type ChannelCredentials, credentials, Metadata, ServerCredentials,
} from '@grpc/grpc-js';
import { createSecretCheck } from './create_secret_check.ts';
import { loadTlsMaterial, type PeerTlsFiles } from './load_tls_material.ts';

/** gRPC credentials for outgoing and incoming control connections. */
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

const CREDENTIAL_KEY = 'authorization';
const ADDRESS_KEY = 'x-control-address';

/** Builds the metadata of a stream: the fleet credential and the control address of its opener. */
export const streamMetadata = (credential: string, address: string): Metadata => {
  const metadata = new Metadata();
  metadata.set(CREDENTIAL_KEY, `Bearer ${credential}`);
  metadata.set(ADDRESS_KEY, address);
  return metadata;
};

/** Creates a constant-time check of the fleet credential in the metadata of a stream. */
export const createCredentialCheck = (credential: string) => {
  const isExpected = createSecretCheck(`Bearer ${credential}`);
  return (metadata: Metadata): boolean => {
    const [given] = metadata.get(CREDENTIAL_KEY);
    return isExpected(typeof given === 'string' ? given : '');
  };
};

/** Returns the control address of the node that opened the stream, if it sent one. */
export const advertisedAddress = (metadata: Metadata): string | undefined => {
  const [address] = metadata.get(ADDRESS_KEY);
  return typeof address === 'string' && address !== '' ? address : undefined;
};
