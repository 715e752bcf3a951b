import {
  Client, Metadata, Server, type ServerDuplexStream, status,
} from '@grpc/grpc-js';
import { err } from 'neverthrow';
import type { CancelTask } from '../clock/mod.ts';
import { PeerError } from '../errors/mod.ts';
import { type ControlBody, ControlService, Envelope } from '../proto/mod.ts';
import { type ControlStream, createControlStream } from './_control_stream.ts';
import { createDispatcher } from './_dispatcher.ts';
import {
  advertisedAddress,
  createCredentialCheck,
  loadGrpcCredentials,
  streamMetadata,
} from './_grpc_credentials.ts';
import { createSendQueue, type QueuedMessage } from './_send_queue.ts';
import { createPeerLink, type PeerLink } from './_peer_link.ts';
import type { GrpcTransport, GrpcTransportOptions } from './grpc_transport.ts';
import type { PeerTransport } from './peer_transport.ts';

const DEFAULT_MAX_MESSAGE_BYTES = 2 * 1024 * 1024;
const DEFAULT_MAX_QUEUED_MESSAGES = 1024;
const DEFAULT_MAX_QUEUED_BYTES = 4 * 1024 * 1024;
const DEFAULT_RECEIVE_TIMEOUT_MS = 300;
const DEFAULT_IDLE_TIMEOUT_MS = 60_000;
const DEFAULT_INITIAL_BACKOFF_MS = 50;
const DEFAULT_MAX_BACKOFF_MS = 2000;
const KEEPALIVE_TIME_MS = 20_000;
const KEEPALIVE_TIMEOUT_MS = 5000;
// Longer than it takes to connect within a region. The default of gRPC is 1 s to 120 s.
const RECONNECT_BACKOFF_MS = 100;

interface InFlightRequest {
  readonly kind: string;
  /** The stream on which the request was sent; `undefined` while it is queued. */
  readonly stream?: ControlStream;
}

const identity = (value: Buffer) => value;

/**
 * The generated method with undecoded messages: a message that gRPC fails to decode would end the
 * stream.
 */
const exchangeMethod = {
  ...ControlService.exchange,
  requestSerialize: identity,
  requestDeserialize: identity,
  responseSerialize: identity,
  responseDeserialize: identity,
};

/**
 * Starts the control listener of a node and creates its transport. Messages in both directions
 * share one long-lived bidirectional stream per peer, which is opened on first use.
 *
 * @param options Addresses, credential, limits and timeouts in ms.
 * @returns The listening transport. Rejects with `PeerError` when the address cannot be bound.
 *
 * @example
 * const transport = await createGrpcTransport({
 *   clock, logger, self, listenAddress: '127.0.0.1:0', credential,
 * });
 */
export const createGrpcTransport = async (
  options: GrpcTransportOptions,
): Promise<GrpcTransport> => {
  const {
    clock, logger, self, credential, random = Math.random,
  } = options;
  const maxMessageBytes = options.maxMessageBytes ?? DEFAULT_MAX_MESSAGE_BYTES;
  const idleTimeoutMs = options.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
  const channelOptions = {
    'grpc.max_receive_message_length': maxMessageBytes,
    'grpc.max_send_message_length': maxMessageBytes,
    'grpc.keepalive_time_ms': KEEPALIVE_TIME_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  };
  const clientOptions = {
    ...channelOptions,
    'grpc.initial_reconnect_backoff_ms': RECONNECT_BACKOFF_MS,
    // The stream that replaces an unresponsive one must not reuse its connection.
    'grpc.use_local_subchannel_pool': 1,
    'grpc.enable_retries': 0,
    'grpc.enable_http_proxy': 0,
  };
  const grpcCredentials = await loadGrpcCredentials(options.tls);
  const dispatcher = createDispatcher(clock, logger);
  const isCredentialValid = createCredentialCheck(credential);
  const links = new Map<string, PeerLink>();
  const requests = new Map<number, InFlightRequest>();
  const counts = {
    messagesSent: 0,
    messagesReceived: 0,
    bytesSent: 0,
    bytesReceived: 0,
    dropped: 0,
    malformed: 0,
    streamsOpened: 0,
    unresponsiveStreams: 0,
  };
  let isClosed = false;
  let ownAddress = '';
  let cancelIdleCheck: CancelTask = () => undefined;

  const encode = (id: number, replyTo: number, body: ControlBody) => Buffer.from(Envelope.encode({
    fromNode: self.node, fromIncarnation: self.incarnation, id, replyTo, body,
  }).finish());

  /** Queues a message. Returns the reason when the message is dropped. */
  const enqueue = (link: PeerLink, message: QueuedMessage): string | undefined => {
    let reason: string | undefined;
    if (isClosed) reason = 'the transport is closed';
    else if (message.encoded.length > maxMessageBytes) reason = 'the message is too large';
    else if (!link.enqueue(message)) reason = 'the queue to the peer is full';
    if (reason !== undefined) counts.dropped += 1;
    return reason;
  };

  const receive = (peer: string, link: PeerLink, encoded: Buffer) => {
    counts.messagesReceived += 1;
    counts.bytesReceived += encoded.length;
    let envelope: Envelope;
    try {
      envelope = Envelope.decode(encoded);
    } catch (error) {
      counts.malformed += 1;
      logger.warn({ step: 'peer.decode', peer, err: error }, 'dropped a malformed message');
      return;
    }
    dispatcher.receive(peer, envelope, (body) => {
      enqueue(link, { encoded: encode(0, envelope.id, body), requestId: 0 });
    });
  };

  const attachStream = (
    peer: string,
    link: PeerLink,
    grpcStream: Parameters<typeof createControlStream>[0],
    client?: Client,
  ): ControlStream => {
    const stream: ControlStream = createControlStream(grpcStream, {
      clock,
      outbound: client !== undefined,
      onMessage: (encoded) => receive(peer, link, encoded),
      release: () => client?.close(),
      onEnd: (reason) => {
        logger.debug({ step: 'peer.stream', peer, reason }, 'control stream ended');
        link.onStreamEnd(stream);
        for (const [id, request] of requests) {
          if (request.stream === stream) dispatcher.fail(id, request.kind, peer, reason);
        }
      },
    });
    return stream;
  };

  const openStream = (peer: string, link: PeerLink): ControlStream | undefined => {
    try {
      const client = new Client(peer, grpcCredentials.client, clientOptions);
      counts.streamsOpened += 1;
      const metadata = streamMetadata(credential, ownAddress);
      const stream = client.makeBidiStreamRequest(
        ControlService.exchange.path,
        identity,
        identity,
        metadata,
      );
      return attachStream(peer, link, stream, client);
    } catch (error) {
      // Addresses come from gossip and from the store and may be malformed.
      logger.warn({ step: 'peer.open', peer, err: error }, 'could not open a control stream');
      return undefined;
    }
  };

  const getOrCreateLink = (peer: string, isDialable: boolean): PeerLink => {
    const existing = links.get(peer);
    if (existing) return existing;
    const link: PeerLink = createPeerLink({
      clock,
      random,
      sendQueue: createSendQueue({
        maxMessages: options.maxQueuedMessages ?? DEFAULT_MAX_QUEUED_MESSAGES,
        maxBytes: options.maxQueuedBytes ?? DEFAULT_MAX_QUEUED_BYTES,
      }),
      openStream: () => (isDialable ? openStream(peer, link) : undefined),
      onWrite: ({ encoded, requestId }, stream) => {
        counts.messagesSent += 1;
        counts.bytesSent += encoded.length;
        const request = requests.get(requestId);
        if (request) requests.set(requestId, { ...request, stream });
      },
      onUnresponsive: (silentMs) => {
        counts.unresponsiveStreams += 1;
        logger.info({ step: 'peer.stream', peer, silentMs }, 'closed an unresponsive stream');
      },
      receiveTimeoutMs: options.receiveTimeoutMs ?? DEFAULT_RECEIVE_TIMEOUT_MS,
      initialBackoffMs: options.initialBackoffMs ?? DEFAULT_INITIAL_BACKOFF_MS,
      maxBackoffMs: options.maxBackoffMs ?? DEFAULT_MAX_BACKOFF_MS,
    });
    links.set(peer, link);
    return link;
  };

  const acceptStream = (call: ServerDuplexStream<Buffer, Buffer>) => {
    const address = advertisedAddress(call.metadata);
    const peer = address ?? call.getPeer();
    if (!isCredentialValid(call.metadata)) {
      logger.warn({ step: 'peer.accept', peer }, 'rejected a stream without the fleet credential');
      call.on('error', () => undefined);
      call.emit('error', { code: status.UNAUTHENTICATED, details: 'wrong fleet credential' });
      return;
    }
    call.sendMetadata(new Metadata());
    const link = getOrCreateLink(peer, address !== undefined);
    link.addInbound(attachStream(peer, link, call));
  };

  const server = new Server(channelOptions);
  server.addService({ exchange: exchangeMethod }, { exchange: acceptStream });
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(options.listenAddress, grpcCredentials.server, (error, bound) => {
      if (error === null) resolve(bound);
      else {
        const step = 'peer.listen';
        reject(new PeerError(error.message, { step, peer: options.listenAddress, cause: error }));
      }
    });
  });
  const host = options.listenAddress.slice(0, options.listenAddress.lastIndexOf(':'));
  ownAddress = options.advertisedAddress ?? `${host}:${port}`;

  const closeIdleLinks = () => {
    for (const [peer, link] of links) {
      if (!link.closeIdle(idleTimeoutMs)) continue;
      link.close();
      links.delete(peer);
    }
    cancelIdleCheck = clock.schedule(idleTimeoutMs / 2, closeIdleLinks);
  };
  cancelIdleCheck = clock.schedule(idleTimeoutMs / 2, closeIdleLinks);

  const send: PeerTransport['send'] = (address, body) => {
    if (isClosed) return;
    enqueue(getOrCreateLink(address, true), { encoded: encode(0, 0, body), requestId: 0 });
  };

  const request: PeerTransport['request'] = async (address, body, { timeoutMs }) => {
    const kind = body.$case;
    if (isClosed) {
      const step = `peer.${kind}`;
      return err(new PeerError('the transport is closed', { step, peer: address }));
    }
    const link = getOrCreateLink(address, true);
    const enqueuedAtMs = clock.now();
    const { id, outcome } = dispatcher.startRequest(kind, address, timeoutMs, (timedOutId) => {
      link.onRequestTimeout(timedOutId, enqueuedAtMs);
    });
    requests.set(id, { kind });
    const dropReason = enqueue(link, { encoded: encode(id, 0, body), requestId: id });
    if (dropReason !== undefined) dispatcher.fail(id, kind, address, dropReason);
    const result = await outcome;
    requests.delete(id);
    return result;
  };

  return {
    address: ownAddress,
    send,
    request,
    handle: dispatcher.handle,
    counters: () => ({ ...counts }),
    close: async () => {
      isClosed = true;
      cancelIdleCheck();
      for (const [id, { kind }] of requests) {
        dispatcher.fail(id, kind, '', 'the transport is closed');
      }
      for (const link of links.values()) link.close();
      links.clear();
      server.forceShutdown();
    },
  };
};
