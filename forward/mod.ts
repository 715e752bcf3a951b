/** Sends requests over one hop, to the local instance or to a peer, and tracks received ones. */
export { exchange, type ExchangeOptions, type ExchangeRequest } from './_exchange.ts';
export { createWatchedPool, type WatchedPool, type WatchedPoolOptions } from './watched_pool.ts';
export type { ExchangeEnd, FailureCause } from './_exchange.ts';
export {
  attemptId, createForwarder, FORWARD_STEP, type Forwarder, type ForwarderOptions,
} from './forwarder.ts';
export {
  endToEndHeaders, findHeader, hopHeaders, REQUEST_ID_HEADER,
} from './headers.ts';
export {
  type AnsweredResult,
  type AnswerSink,
  type ResponseAction,
  type AttemptEnd,
  BODY_PROGRESS_TIMEOUT_MS,
  HOP_PROGRESS_TIMEOUT_MS,
  type HopRequest,
  type ProgressTimeouts,
  type RefusedEnd,
  type TruncatedResult,
} from './hop.ts';
export {
  createIdempotencyTable,
  type FirstAttempt,
  type FirstAttemptResult,
  type IdempotencyLookup,
  type IdempotencyTable,
  type IdempotencyTableOptions,
  type CachedResponse,
} from './idempotency_table.ts';
export { formatLoad, parseLoad } from './load_header.ts';
export { readRefusal, refusalHeaders } from './refusal_headers.ts';
export {
  type CancelReply, createRequestLedger, type LedgerState, type RequestLedger,
  type RequestLedgerOptions,
} from './request_ledger.ts';
export {
  createUpstreamClient,
  FENCING_SLOT_HEADER,
  FENCING_TOKEN_HEADER,
  REMAINING_HEADER,
  type UpstreamClient,
  type UpstreamClientOptions,
  type UpstreamRequest,
} from './upstream_client.ts';
export {
  createUpstreamGrants, type HttpUpstreamGrants, type UpstreamGrantsOptions,
} from './upstream_grants.ts';
