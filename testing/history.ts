import type { RequestClass } from '../contract/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { PlacementRecord } from '../placement/mod.ts';

/** State of a host, that is, of its node and its upstream instance. */
export type HostState = 'started' | 'paused' | 'resumed' | 'killed' | 'stopped';

interface EventFields {
  /** A grant to the upstream of a node, or its revocation. */
  readonly grant: {
    readonly node: string;
    readonly token: number;
    readonly slots: readonly number[];
    readonly revoked: boolean;
  };
  /** Nodes that may admit requests for the key from now on. */
  readonly rights: { readonly key: string; readonly nodes: readonly string[] };
  /** A request passed the ownership check. */
  readonly enter: { readonly node: string; readonly key: string; readonly token: number };
  readonly request: {
    readonly request: string;
    readonly node: string;
    readonly process: string;
    readonly key: string;
    readonly requestClass: RequestClass;
    readonly expectedBody: string;
  };
  readonly 'execution start': {
    readonly node: string;
    readonly key: string;
    readonly request: string;
    readonly attempt: string;
    /** Identity of a submission, equal for all requests by which a caller sends it. */
    readonly submission: string;
    readonly requestClass: RequestClass;
    readonly token: number | undefined;
  };
  readonly 'execution end': {
    readonly node: string;
    readonly key: string;
    readonly attempt: string;
    readonly completed: boolean;
  };
  /** The caller received an answer; `whole` is false if it was told that it is truncated. */
  readonly answer: { readonly request: string; readonly body: string; readonly whole: boolean };
  /** A refusal of an attempt; without an attempt, the refusal that the caller received. */
  readonly refusal: {
    readonly request: string;
    readonly attempt: string | undefined;
    readonly outcome: Outcome;
    readonly reason: string;
  };
  /** The store accepted a placement record. */
  readonly record: { readonly revision: number; readonly record: PlacementRecord };
  /** Revision that a process uses from now on. */
  readonly 'in force': {
    readonly node: string;
    readonly process: string;
    readonly holder: 'relay' | 'contracts';
    readonly key: string;
    readonly revision: number;
  };
  /** An operator received the acknowledgement that the contract is applied. */
  readonly 'contract acknowledged': {
    readonly node: string;
    readonly customer: string;
    readonly revision: number;
  };
  /** A planned stop of the node begins, in which its upstream drains. */
  readonly leaving: { readonly node: string };
  /** A planned stop ends the process. */
  readonly 'planned stop': { readonly node: string; readonly process: string };
  readonly host: { readonly node: string; readonly state: HostState };
  readonly link: { readonly from: string; readonly to: string; readonly cut: boolean };
  readonly store: { readonly faulty: boolean };
  readonly end: { readonly keys: readonly string[] };
}

/** Name of a kind of event. */
export type EventKind = keyof EventFields;

/** An event of one kind, with its time in ms since the start of the run. */
export type EventOf<K extends EventKind> = (
  { readonly kind: K; readonly at: number } & EventFields[K]
);

/** An event of a run. */
export type HistoryEvent = { [K in EventKind]: EventOf<K> }[EventKind];

/** Events of a run in the order in which they happened. */
export type History = readonly HistoryEvent[];

/** Appends an event at the current time. */
export type RecordEvent = <K extends EventKind>(kind: K, fields: EventFields[K]) => void;

/** Selects the events of one kind. */
export const eventsOf = <K extends EventKind>(
  history: History,
  kind: K,
): readonly EventOf<K>[] => (
  history.filter((event): event is EventOf<K> & HistoryEvent => event.kind === kind)
);
