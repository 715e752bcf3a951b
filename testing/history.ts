import type { RequestClass } from '../contract/mod.ts';
import type { Outcome } from '../errors/mod.ts';
import type { PlacementRecord } from '../placement/mod.ts';

/** State of a host: its node and its upstream instance. */
export type HostState = 'started' | 'paused' | 'resumed' | 'killed' | 'stopped';

interface EventFields {
  /** A grant at the upstream of a node, or its end. */
  readonly grant: {
    readonly node: string;
    readonly token: number;
    readonly slots: readonly number[];
    readonly revoked: boolean;
  };
  /** The nodes that may enter a request for the key from now on. */
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
    /** Equal for all requests by which a caller sends one submission. */
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
  /** The caller received an answer; `whole` is false when it was told that the answer broke off. */
  readonly answer: { readonly request: string; readonly body: string; readonly whole: boolean };
  /** Without an attempt, the refusal that the caller received. */
  readonly refusal: {
    readonly request: string;
    readonly attempt: string | undefined;
    readonly outcome: Outcome;
    readonly reason: string;
  };
  /** The store accepted a record. */
  readonly record: { readonly revision: number; readonly record: PlacementRecord };
  /** A revision that a process holds from now on. */
  readonly 'in force': {
    readonly node: string;
    readonly process: string;
    readonly holder: 'relay' | 'contracts';
    readonly key: string;
    readonly revision: number;
  };
  /** An operator was told that the contract is applied. */
  readonly 'contract acknowledged': {
    readonly node: string;
    readonly customer: string;
    readonly revision: number;
  };
  /** A node announced that its upstream leaves. */
  readonly leaving: { readonly node: string };
  /** A planned stop ends the process now. */
  readonly 'planned stop': { readonly node: string; readonly process: string };
  readonly host: { readonly node: string; readonly state: HostState };
  readonly link: { readonly from: string; readonly to: string; readonly cut: boolean };
  readonly store: { readonly disturbed: boolean };
  readonly end: { readonly keys: readonly string[] };
}

/** Kind of an event. */
export type EventKind = keyof EventFields;

/** An event of one kind at a time in ms. */
export type EventOf<K extends EventKind> = (
  { readonly kind: K; readonly at: number } & EventFields[K]
);

/** Something that happened in a run. */
export type HistoryEvent = { [K in EventKind]: EventOf<K> }[EventKind];

/** Events in the order in which they happened. */
export type History = readonly HistoryEvent[];

/** Appends an event at the present time. */
export type RecordEvent = <K extends EventKind>(kind: K, fields: EventFields[K]) => void;

/** Selects the events of one kind. */
export const eventsOf = <K extends EventKind>(
  history: History,
  kind: K,
): readonly EventOf<K>[] => (
  history.filter((event): event is EventOf<K> & HistoryEvent => event.kind === kind)
);
