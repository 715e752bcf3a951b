/** Sends requests over one hop, to the local instance or to a peer, and tracks received ones. */
export { exchange } from './_exchange.ts';
export type { ExchangeOptions, ExchangeRequest } from './_exchange_options.ts';
export {
  createTruncationAwarePool, type TruncationAwarePool, type TruncationAwarePoolOptions,
} from './truncation_aware_pool.ts';
export type { ExchangeResult, FailureCause } from './_exchange.ts';
export {
  attemptId, createForwarder, FORWARD_STEP, type Forwarder, type ForwarderOptions,
} from './forwarder.ts';
export {
  endToEndHeaders, findHeader, hopHeaders, REQUEST_ID_HEADER,
} from './headers.ts';
export {
  type AnsweredResult,
  type ResponseSink,
  type ResponseAction,
  type AttemptResult,
  BODY_PROGRESS_TIMEOUT_MS,
  HEAD_PROGRESS_TIMEOUT_MS,
  type HopRequest,
  type ProgressTimeouts,
  type RefusedResult,
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
export {
  formatExcess, formatLoad, loadHeaders, parseExcess, parseLoad, readLoad, readSpentMs,
} from './load_header.ts';
export { decodeRefusal, encodeRefusal } from './refusal_headers.ts';
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
