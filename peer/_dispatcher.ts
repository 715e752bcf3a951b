import { err, ok, type Result } from 'neverthrow';
import type { Clock } from '../clock/mod.ts';
import { PeerError } from '../errors/mod.ts';
import type { ControlBody, ControlKind, Envelope } from '../proto/mod.ts';
import type { Logger } from '../telemetry/mod.ts';
import type { ControlHandler, PeerTransport } from './peer_transport.ts';

type RequestResult = Result<ControlBody, PeerError>;
type AnyHandler = ControlHandler<ControlKind>;

interface PendingRequest {
  readonly settle: (outcome: RequestResult) => void;
}

/** A request that waits for its reply. */
export interface StartedRequest {
  readonly id: number;
  readonly outcome: Promise<RequestResult>;
}

/** Matches replies to pending requests and calls the handlers of incoming messages. */
export interface Dispatcher {
  readonly handle: PeerTransport['handle'];
  /** Registers a pending request. It fails, and `onTimeout` is called, after `timeoutMs`. */
  readonly startRequest: (
    kind: ControlKind,
    peer: string,
    timeoutMs: number,
    onTimeout: (id: number) => void,
  ) => StartedRequest;
  /** Fails a pending request; has no effect when it is already settled. */
  readonly fail: (id: number, kind: string, peer: string, reason: string) => void;
  /** Processes an incoming message; `sendReply` sends the reply of its handler. */
  readonly receive: (
    peer: string,
    envelope: Envelope,
    sendReply: (body: ControlBody) => void,
  ) => Promise<void>;
}

const failure = (step: string, reason: string): ControlBody => ({
  $case: 'failure', value: { step, reason },
});

export const createDispatcher = (clock: Clock, logger: Logger): Dispatcher => {
  const handlers = new Map<ControlKind, AnyHandler>();
  const pending = new Map<number, PendingRequest>();
  let nextId = 1;

  const settle = (id: number, outcome: RequestResult) => pending.get(id)?.settle(outcome);

  const handleRequest = async (
    peer: string,
    envelope: Envelope,
  ): Promise<ControlBody | undefined> => {
    const { body } = envelope;
    const handler = body && handlers.get(body.$case);
    if (body === undefined || handler === undefined) {
      const reason = `no handler for ${body?.$case ?? 'an unknown kind'}`;
      logger.warn({ step: 'peer.handle', peer }, `dropped a control message: ${reason}`);
      return failure('peer.handle', reason);
    }
    try {
      const sender = { node: envelope.fromNode, incarnation: envelope.fromIncarnation };
      return await handler(body.value, sender);
    } catch (error) {
      const step = `peer.${body.$case}`;
      logger.error({ step, peer, err: error }, 'the handler of a control message failed');
      return failure(step, 'the handler failed');
    }
  };

  return {
    handle: (kind, handler) => {
      if (handlers.has(kind)) {
        throw new PeerError(`${kind} already has a handler`, { step: 'peer.handle' });
      }
      handlers.set(kind, handler as unknown as AnyHandler);
    },
    startRequest: (kind, peer, timeoutMs, onTimeout) => {
      const id = nextId;
      nextId += 1;
      const outcome = new Promise<RequestResult>((resolve) => {
        const cancelTimeout = clock.schedule(timeoutMs, () => {
          const reason = `no answer within ${timeoutMs} ms`;
          settle(id, err(new PeerError(reason, { step: `peer.${kind}`, peer })));
          onTimeout(id);
        });
        pending.set(id, {
          settle: (result) => {
            pending.delete(id);
            cancelTimeout();
            resolve(result);
          },
        });
      });
      return { id, outcome };
    },
    fail: (id, kind, peer, reason) => {
      settle(id, err(new PeerError(reason, { step: `peer.${kind}`, peer })));
    },
    receive: async (peer, envelope, sendReply) => {
      const { body } = envelope;
      if (envelope.replyTo !== 0) {
        if (body?.$case === 'failure') {
          const { step, reason } = body.value;
          settle(envelope.replyTo, err(new PeerError(reason, { step, peer })));
        } else if (body) settle(envelope.replyTo, ok(body));
        return;
      }
      const reply = await handleRequest(peer, envelope);
      // A message without an identifier expects no reply.
      if (reply !== undefined && envelope.id !== 0) sendReply(reply);
    },
  };
};
