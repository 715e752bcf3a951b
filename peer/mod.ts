/**
 * Control messages between nodes: the transport interface, its gRPC implementation and an in-memory
 * network for tests.
 */
export type {
  ControlHandler, PeerRequestOptions, PeerTransport, NodeIdentity,
} from './peer_transport.ts';
export {
  createFakeNetwork, type FakeNetwork, type FakeNetworkCounters, type FakeNetworkOptions,
} from './fake_network.ts';
export { createGrpcTransport } from './create_grpc_transport.ts';
export type {
  GrpcTransport, GrpcTransportCounters, GrpcTransportOptions,
} from './grpc_transport.ts';
export { loadTlsMaterial, type PeerTlsFiles, type TlsMaterial } from './load_tls_material.ts';
export { createSecretCheck } from './create_secret_check.ts';
