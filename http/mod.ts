/** HTTP/1.1 listeners with a graceful stop, and answers written to them. */
export {
  createHttpServer, type Expectation, type HttpListener, type HttpServerOptions, splitAddress,
} from './create_http_server.ts';
export { hasBody } from './has_body.ts';
export { renderMalformed } from './render_malformed.ts';
export { type AnswerBuffer, createAnswerBuffer } from './answer_buffer.ts';
export { createResponseSink, resetConnection } from './response_sink.ts';
