import type { ResponseSink } from '../forward/mod.ts';

const FIRST_SERVER_ERROR = 500;

/** Sends the head of an error at once, which is all that the peer needs to try again. */
export const flushErrorHeads = (sink: ResponseSink): ResponseSink => ({
  ...sink,
  start: (status, ...head) => {
    const action = sink.start(status, ...head);
    if (action === 'deliver' && status >= FIRST_SERVER_ERROR) sink.flushHead?.();
    return action;
  },
});
