import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';

interface Parser {
  readonly shouldKeepAlive?: boolean;
}

const lastResponses = new WeakSet<Dispatcher.DispatchController>();
let parserSymbol: symbol | undefined;

/** Returns the parser that undici keeps at a connection. undici has no public access to it. */
const findParser = (socket: Socket): Parser | undefined => {
  parserSymbol ??= Object.getOwnPropertySymbols(socket)
    .find(({ description }) => description === 'parser');
  if (parserSymbol === undefined) return undefined;
  return (socket as unknown as Readonly<Record<symbol, Parser | undefined>>)[parserSymbol];
};

/** Notes whether undici takes the response that begins on a connection for its last one. */
export const noteResponse = (controller: Dispatcher.DispatchController, socket: Socket): void => {
  if (findParser(socket)?.shouldKeepAlive !== true) lastResponses.add(controller);
};

/**
 * Returns whether a response of a bounded pool is the last one on its connection. Such a response
 * must not be paused: undici throws an exception when its connection ends meanwhile.
 *
 * @param controller Controller of the response, whose head has been received.
 * @returns Whether the connection ends with the response; also if that cannot be told.
 *
 * @example
 * if (!isLastResponse(controller)) controller.pause();
 */
export const isLastResponse = (controller: Dispatcher.DispatchController): boolean => (
  lastResponses.has(controller)
);
