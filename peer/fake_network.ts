import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { PeerError } from '../errors/mod.ts';
import { type ControlBody, type ControlKind, Envelope } from '../proto/mod.ts';
import type { ControlHandler, PeerTransport, NodeIdentity } from './peer_transport.ts';

/** An in-memory network for tests that connects the transports of several nodes. */
export interface FakeNetwork {
  /**
   * Creates the transport of a node. An address that is in use is taken over, as by a restart of
   * the process.
   */
  readonly connect: (address: string, self: NodeIdentity) => PeerTransport;
  /** Drops all messages from one address to another, in this direction only. */
  readonly cut: (from: string, to: string) => void;
  /** Reverts `cut` for one address and direction. */
  readonly heal: (from: string, to: string) => void;
  /** Reverts all cuts. */
  readonly healAll: () => void;
  /** Removes the process at an address; messages to it are lost. */
  readonly kill: (address: string) => void;
  /** Delays messages to an address until `resume`, as a frozen process does. */
  readonly pause: (address: string) => void;
  readonly resume: (address: string) => void;
  readonly counters: () => FakeNetworkCounters;
}

/** Traffic since the start. */
export interface FakeNetworkCounters {
  readonly messages: number;
  readonly bytes: number;
}

/** Options of a fake network. */
export interface FakeNetworkOptions {
  /** One-way delay in ms. */
  readonly delayMs?: number;
}

interface Endpoint {
  readonly receive: (from: string, envelope: Envelope) => void;
}

interface PendingRequest {
  readonly settle: (outcome: Result<ControlBody, PeerError>) => void;
}

type AnyHandler = ControlHandler<ControlKind>;

const DEFAULT_DELAY_MS = 0.5;

const noHandlerFailure = (kind: ControlKind): ControlBody => ({
  $case: 'failure',
  value: { step: 'peer.handle', reason: `no handler for ${kind}` },
});

const runHandler = async (handler: AnyHandler, body: ControlBody, sender: NodeIdentity) => {
  try {
    return await handler(body.value, sender);
  } catch (error) {
    const value = { step: `peer.${body.$case}`, reason: String(error) };
    return { $case: 'failure', value } satisfies ControlBody;
  }
};

const linkKey = (from: string, to: string) => `${from} ${to}`;

/**
 * Creates a network without nodes. Messages are encoded and decoded as on the wire, so that a
 * message that cannot be encoded fails in tests too.
 *
 * @param clock Clock for delays and timeouts.
 * @param options One-way delay in ms.
 * @returns The network.
 *
 * @example
 * const network = createFakeNetwork(clock);
 * const transport = network.connect('n1', { node: 'n1', incarnation: '1' });
 */
export const createFakeNetwork = (
  clock: Clock,
  options: FakeNetworkOptions = {},
): FakeNetwork => {
  const delayMs = options.delayMs ?? DEFAULT_DELAY_MS;
  const endpoints = new Map<string, Endpoint>();
  const cutLinks = new Set<string>();
  const paused = new Map<string, (() => void)[]>();
  let messages = 0;
  let bytes = 0;

  const deliver = (from: string, to: string, encoded: Uint8Array) => {
    const arrive = () => endpoints.get(to)?.receive(from, Envelope.decode(encoded));
    const delayed = paused.get(to);
    if (delayed) delayed.push(arrive);
    else arrive();
  };

  const transmit = (from: string, to: string, envelope: Envelope) => {
    const encoded = Envelope.encode(envelope).finish();
    messages += 1;
    bytes += encoded.length;
    clock.schedule(delayMs, () => {
      if (!cutLinks.has(linkKey(from, to))) deliver(from, to, encoded);
    });
  };

  const connect: FakeNetwork['connect'] = (address, self) => {
    const handlers = new Map<ControlKind, AnyHandler>();
    const pending = new Map<number, PendingRequest>();
    let nextId = 1;
    let isClosed = false;

    let isConnected = () => false;

    const post = (to: string, id: number, replyTo: number, body: ControlBody) => {
      if (isClosed || !isConnected()) return;
      transmit(address, to, {
        fromNode: self.node, fromIncarnation: self.incarnation, id, replyTo, body,
      });
    };

    const handleRequest = async (from: string, envelope: Envelope, body: ControlBody) => {
      const handler = handlers.get(body.$case);
      const sender = { node: envelope.fromNode, incarnation: envelope.fromIncarnation };
      const reply = handler === undefined
        ? noHandlerFailure(body.$case)
        : await runHandler(handler, body, sender);
      // A message without an identifier expects no reply.
      if (reply !== undefined && envelope.id !== 0) post(from, 0, envelope.id, reply);
    };

    const endpoint: Endpoint = {
      receive: (from, envelope) => {
        if (isClosed || envelope.body === undefined) return;
        if (envelope.replyTo === 0) {
          handleRequest(from, envelope, envelope.body);
          return;
        }
        const { body } = envelope;
        const settle = pending.get(envelope.replyTo)?.settle;
        if (body.$case === 'failure') {
          settle?.(err(new PeerError(body.value.reason, { step: body.value.step, peer: from })));
        } else settle?.(ok(body));
      },
    };
    endpoints.set(address, endpoint);
    isConnected = () => endpoints.get(address) === endpoint;

    const request: PeerTransport['request'] = (to, body, { timeoutMs }) => (
      new Promise((resolve) => {
        const id = nextId;
        nextId += 1;
        const cancelTimeout = clock.schedule(timeoutMs, () => {
          const reason = `no answer within ${timeoutMs} ms`;
          const error = new PeerError(reason, { step: `peer.${body.$case}`, peer: to });
          pending.get(id)?.settle(err(error));
        });
        pending.set(id, {
          settle: (outcome) => {
            pending.delete(id);
            cancelTimeout();
            resolve(outcome);
          },
        });
        post(to, id, 0, body);
      })
    );

    return {
      send: (to, body) => post(to, 0, 0, body),
      request,
      handle: (kind, handler) => {
        if (handlers.has(kind)) {
          throw new PeerError(`${kind} already has a handler`, { step: 'peer.handle' });
        }
        handlers.set(kind, handler as unknown as AnyHandler);
      },
      close: async () => {
        isClosed = true;
        if (endpoints.get(address) === endpoint) endpoints.delete(address);
      },
    };
  };

  return {
    connect,
    cut: (from, to) => cutLinks.add(linkKey(from, to)),
    heal: (from, to) => cutLinks.delete(linkKey(from, to)),
    healAll: () => cutLinks.clear(),
    kill: (address) => endpoints.delete(address),
    pause: (address) => {
      if (!paused.has(address)) paused.set(address, []);
    },
    resume: (address) => {
      const delayed = paused.get(address) ?? [];
      paused.delete(address);
      for (const arrive of delayed) arrive();
    },
    counters: () => ({ messages, bytes }),
  };
};
