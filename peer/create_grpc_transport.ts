import {
  Client, Metadata, Server, type ServerDuplexStream, status,
} from '@grpc/grpc-js';
import { err } from 'neverthrow';
import type { CancelTask } from '../clock/mod.ts';
import { PeerError } from '../errors/mod.ts';
import { type ControlBody, ControlService, Envelope } from '../proto/mod.ts';
import { type Channel, createChannel } from './_channel.ts';
import { createDispatcher } from './_dispatcher.ts';
import {
  advertisedAddress,
  createCredentialCheck,
  loadGrpcCredentials,
  streamMetadata,
} from './_grpc_credentials.ts';
import { createOutbox, type Outgoing } from './_outbox.ts';
import { createPeerLink, type PeerLink } from './_peer_link.ts';
import type { GrpcTransport, GrpcTransportOptions } from './grpc_transport.ts';
import type { PeerTransport } from './peer_transport.ts';

const DEFAULT_MAX_MESSAGE_BYTES = 2 * 1024 * 1024;
const DEFAULT_MAX_QUEUED_MESSAGES = 1024;
const DEFAULT_MAX_QUEUED_BYTES = 4 * 1024 * 1024;
const DEFAULT_SILENCE_MS = 300;
const DEFAULT_IDLE_MS = 60_000;
const DEFAULT_INITIAL_BACKOFF_MS = 50;
const DEFAULT_MAX_BACKOFF_MS = 2000;
const KEEPALIVE_TIME_MS = 20_000;
const KEEPALIVE_TIMEOUT_MS = 5000;
// Longer than a connection takes within a region; gRPC would wait 1 s to 120 s by itself.
const CHANNEL_BACKOFF_MS = 100;

interface OpenRequest {
  readonly kind: string;
  /** The stream on which the request was sent; `undefined` while it is queued. */
  readonly channel?: Channel;
}

const identity = (value: Buffer) => value;

/** The generated method on encoded messages, so that a malformed one does not end the stream. */
const exchangeMethod = {
  ...ControlService.exchange,
  requestSerialize: identity,
  requestDeserialize: identity,
  responseSerialize: identity,
  responseDeserialize: identity,
};

/**
 * Starts the control listener of a node and creates its transport. One long-lived bidirectional
 * stream per peer, opened on first use, carries the messages of both sides.
 *
 * @param options Addresses, credential, limits and durations in ms.
 * @returns The transport, once it listens. It rejects with `PeerError` when it cannot listen.
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
  const idleMs = options.idleMs ?? DEFAULT_IDLE_MS;
  const channelOptions = {
    'grpc.max_receive_message_length': maxMessageBytes,
    'grpc.max_send_message_length': maxMessageBytes,
    'grpc.keepalive_time_ms': KEEPALIVE_TIME_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  };
  const clientOptions = {
    ...channelOptions,
    'grpc.initial_reconnect_backoff_ms': CHANNEL_BACKOFF_MS,
    // A new stream after silence must not reuse the silent connection.
    'grpc.use_local_subchannel_pool': 1,
    'grpc.enable_retries': 0,
    'grpc.enable_http_proxy': 0,
  };
  const grpcCredentials = await loadGrpcCredentials(options.tls);
  const dispatcher = createDispatcher(clock, logger);
  const isCredentialValid = createCredentialCheck(credential);
  const links = new Map<string, PeerLink>();
  const requests = new Map<number, OpenRequest>();
  const total = {
    messagesSent: 0,
    messagesReceived: 0,
    bytesSent: 0,
    bytesReceived: 0,
    dropped: 0,
    malformed: 0,
    streamsOpened: 0,
    silentStreams: 0,
  };
  let closed = false;
  let ownAddress = '';
  let cancelSweep: CancelTask = () => undefined;

  const encode = (id: number, replyTo: number, body: ControlBody) => Buffer.from(Envelope.encode({
    fromNode: self.node, fromIncarnation: self.incarnation, id, replyTo, body,
  }).finish());

  /** Returns the reason when the message was dropped. */
  const post = (link: PeerLink, message: Outgoing): string | undefined => {
    let reason: string | undefined;
    if (closed) reason = 'the transport is closed';
    else if (message.encoded.length > maxMessageBytes) reason = 'the message is too large';
    else if (!link.post(message)) reason = 'the queue to the peer is full';
    if (reason !== undefined) total.dropped += 1;
    return reason;
  };

  const receive = (peer: string, link: PeerLink, encoded: Buffer) => {
    total.messagesReceived += 1;
    total.bytesReceived += encoded.length;
    let envelope: Envelope;
    try {
      envelope = Envelope.decode(encoded);
    } catch (error) {
      total.malformed += 1;
      logger.warn({ step: 'peer.decode', peer, err: error }, 'dropped a malformed message');
      return;
    }
    dispatcher.receive(peer, envelope, (body) => {
      post(link, { encoded: encode(0, envelope.id, body), requestId: 0 });
    });
  };

  const attach = (
    peer: string,
    link: PeerLink,
    stream: Parameters<typeof createChannel>[0],
    client?: Client,
  ): Channel => {
    const channel: Channel = createChannel(stream, {
      clock,
      outbound: client !== undefined,
      onMessage: (encoded) => receive(peer, link, encoded),
      release: () => client?.close(),
      onEnd: (reason) => {
        logger.debug({ step: 'peer.stream', peer, reason }, 'a control stream has ended');
        link.ended(channel);
        for (const [id, request] of requests) {
          if (request.channel === channel) dispatcher.fail(id, request.kind, peer, reason);
        }
      },
    });
    return channel;
  };

  const openStream = (peer: string, link: PeerLink): Channel | undefined => {
    try {
      const client = new Client(peer, grpcCredentials.client, clientOptions);
      total.streamsOpened += 1;
      const metadata = streamMetadata(credential, ownAddress);
      const stream = client.makeBidiStreamRequest(
        ControlService.exchange.path,
        identity,
        identity,
        metadata,
      );
      return attach(peer, link, stream, client);
    } catch (error) {
      // Addresses come from gossip and from the store, so that they may be malformed.
      logger.warn({ step: 'peer.open', peer, err: error }, 'could not open a control stream');
      return undefined;
    }
  };

  const findLink = (peer: string, dial: boolean): PeerLink => {
    const known = links.get(peer);
    if (known) return known;
    const link: PeerLink = createPeerLink({
      clock,
      random,
      outbox: createOutbox({
        maxMessages: options.maxQueuedMessages ?? DEFAULT_MAX_QUEUED_MESSAGES,
        maxBytes: options.maxQueuedBytes ?? DEFAULT_MAX_QUEUED_BYTES,
      }),
      open: () => (dial ? openStream(peer, link) : undefined),
      onWrite: ({ encoded, requestId }, channel) => {
        total.messagesSent += 1;
        total.bytesSent += encoded.length;
        const request = requests.get(requestId);
        if (request) requests.set(requestId, { ...request, channel });
      },
      onSilent: (silentMs) => {
        total.silentStreams += 1;
        logger.info({ step: 'peer.stream', peer, silentMs }, 'closed a silent control stream');
      },
      silenceMs: options.silenceMs ?? DEFAULT_SILENCE_MS,
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
      logger.warn({ step: 'peer.accept', peer }, 'refused a stream without the fleet credential');
      call.on('error', () => undefined);
      call.emit('error', { code: status.UNAUTHENTICATED, details: 'wrong fleet credential' });
      return;
    }
    call.sendMetadata(new Metadata());
    const link = findLink(peer, address !== undefined);
    link.adopt(attach(peer, link, call));
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

  const sweep = () => {
    for (const [peer, link] of links) {
      if (!link.sweep(idleMs)) continue;
      link.close();
      links.delete(peer);
    }
    cancelSweep = clock.schedule(idleMs / 2, sweep);
  };
  cancelSweep = clock.schedule(idleMs / 2, sweep);

  const send: PeerTransport['send'] = (address, body) => {
    if (closed) return;
    post(findLink(address, true), { encoded: encode(0, 0, body), requestId: 0 });
  };

  const request: PeerTransport['request'] = async (address, body, { timeoutMs }) => {
    const kind = body.$case;
    if (closed) {
      const step = `peer.${kind}`;
      return err(new PeerError('the transport is closed', { step, peer: address }));
    }
    const link = findLink(address, true);
    const postedAtMs = clock.now();
    const { id, outcome } = dispatcher.openRequest(kind, address, timeoutMs, (expiredId) => {
      link.expired(expiredId, postedAtMs);
    });
    requests.set(id, { kind });
    const refused = post(link, { encoded: encode(id, 0, body), requestId: id });
    if (refused !== undefined) dispatcher.fail(id, kind, address, refused);
    const result = await outcome;
    requests.delete(id);
    return result;
  };

  return {
    address: ownAddress,
    send,
    request,
    handle: dispatcher.handle,
    counters: () => ({ ...total }),
    close: async () => {
      closed = true;
      cancelSweep();
      for (const [id, { kind }] of requests) {
        dispatcher.fail(id, kind, '', 'the transport is closed');
      }
      for (const link of links.values()) link.close();
      links.clear();
      server.forceShutdown();
    },
  };
};
