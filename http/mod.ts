/** HTTP/1.1 listeners with graceful shutdown, bounded pools, and helpers that write responses. */
export { createHttpServer } from './create_http_server.ts';
export type { Expectation, HttpListener, HttpServerOptions } from './http_server_options.ts';
export { isAddress, splitAddress } from './split_address.ts';
export { type BoundedPoolOptions, createBoundedPool } from './create_bounded_pool.ts';
export { isLastResponse } from './last_responses.ts';
export { createRenewablePool, type RenewablePool } from './create_renewable_pool.ts';
export { createBulkSink, createCountedSink } from './bulk_sink.ts';
export {
  type BulkBody, type BulkDestination, createEgressLink, type EgressLink, type EgressLinkOptions,
} from './egress_link.ts';
export { endAfterRequest } from './end_after_request.ts';
export { isHalfOpen } from './half_open.ts';
export { refuseArrived, type RefuseArrivedOptions } from './refuse_arrived.ts';
export { hasBody } from './has_body.ts';
export { renderMalformed } from './render_malformed.ts';
export { type ResponseBuffer, createResponseBuffer } from './response_buffer.ts';
export { createResponseSink, resetConnection } from './response_sink.ts';
