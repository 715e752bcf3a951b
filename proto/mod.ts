/** Control messages between nodes, with the code generated from `control.proto`. */
import type { Envelope } from './generated/control.ts';

export * from './generated/control.ts';

/** Body of a control message, a tagged union of `{ $case, value }`. */
export type ControlBody = NonNullable<Envelope['body']>;

/** Kind of a control message, the `$case` of its body. */
export type ControlKind = ControlBody['$case'];

/** Value of the body of a control message of kind `K`. */
export type ControlValue<K extends ControlKind> = (
  Extract<ControlBody, { readonly $case: K }>['value']
);
