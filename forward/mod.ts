/** A request over one hop: to the local instance or to a peer. */
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
  type AnsweredEnd,
  type AnswerSink,
  type AnswerUse,
  type AttemptEnd,
  BODY_PROGRESS_TIMEOUT_MS,
  HOP_PROGRESS_TIMEOUT_MS,
  type HopRequest,
  type ProgressTimeouts,
  type RefusedEnd,
  type TruncatedEnd,
} from './hop.ts';
export {
  createIdempotencyTable,
  type FirstAttempt,
  type FirstAttemptEnd,
  type IdempotencyEntry,
  type IdempotencyTable,
  type IdempotencyTableOptions,
  type KeptAnswer,
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
