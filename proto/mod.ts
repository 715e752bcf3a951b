/** Control messages between nodes; the generated code comes from `control.proto`. */
import type { Envelope } from './generated/control.ts';

export * from './generated/control.ts';

/** Content of a control message: `{ $case, value }`. */
export type ControlBody = NonNullable<Envelope['body']>;

/** Name of a kind of control message. */
export type ControlKind = ControlBody['$case'];

/** Content of a control message of kind `K`. */
export type ControlValue<K extends ControlKind> = (
  Extract<ControlBody, { readonly $case: K }>['value']
);
