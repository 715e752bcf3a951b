import type { ServerResponse } from 'node:http';
import type { ResponseSink } from '../forward/mod.ts';
import type { BulkBody, EgressLink } from './egress_link.ts';
import { createResponseSink } from './response_sink.ts';

/**
 * Creates a sink for a bulk response, whose body is sent as the link allows. It is read ahead of
 * the link, since the slot of an instance is free once its response is read to the end.
 *
 * @param response Response to write to.
 * @param addHeaders Appends names and values in turn to the headers before they are sent.
 * @param link Link of this host.
 * @returns The sink.
 *
 * @example
 * const sink = createBulkSink(response, () => undefined, link);
 */
export const createBulkSink = (
  response: ServerResponse,
  addHeaders: (headers: string[]) => void,
  link: EgressLink,
): ResponseSink => {
  const unpaced = createResponseSink(response, addHeaders);
  let body: BulkBody | undefined;
  let resumeReading = () => undefined as void;

  const open = () => {
    const opened = link.openBulk({
      send: (chunk) => {
        const hasRoom = unpaced.write(chunk);
        if (!hasRoom) unpaced.onDrain(opened.resume);
        return hasRoom;
      },
      finish: unpaced.end,
      onRoom: () => resumeReading(),
    });
    response.once('close', opened.discard);
    // Another response may be sent in its place, behind which nothing of the body may follow.
    response.once('prefinish', opened.discard);
    return opened;
  };

  return {
    start: (status, headers) => {
      const action = unpaced.start(status, headers);
      if (action === 'deliver') {
        body?.discard();
        body = open();
      }
      return action;
    },
    write: (chunk) => {
      body?.write(chunk);
      return body?.hasRoom() ?? true;
    },
    onDrain: (resume) => {
      resumeReading = resume;
    },
    flushHead: unpaced.flushHead,
    unsentBytes: () => (unpaced.unsentBytes?.() ?? 0) + (body?.waitingBytes() ?? 0),
    end: () => body?.end(),
  };
};

/** Approximate size of the head of a response. */
const HEAD_BYTES = 400;

/**
 * Counts the bytes of a response that is sent at once, so that bulk bodies leave room for it.
 *
 * @param sink Sink of the response.
 * @param link Link of this host.
 * @returns The sink that counts.
 *
 * @example
 * const sink = createCountedSink(createResponseSink(response, addHeaders, buffer), link);
 */
export const createCountedSink = (sink: ResponseSink, link: EgressLink): ResponseSink => ({
  ...sink,
  start: (status, headers) => {
    link.count(HEAD_BYTES);
    return sink.start(status, headers);
  },
  write: (chunk) => {
    link.count(chunk.length);
    return sink.write(chunk);
  },
});
