import type { ServerResponse } from 'node:http';
import { formatRefusal, formatRetryAfter, respondWithJson } from './_http_messages.ts';
import type { AttemptOutcome } from './request.ts';

const STATUS_BAD_GATEWAY = 502;

/** Answers a caller's request whose instance has sent no response that could be delivered. */
export const respondWithOutcome = (
  response: ServerResponse,
  outcome: AttemptOutcome,
  idHeader: readonly string[],
  random: () => number,
): void => {
  if (outcome.kind === 'answered') return;
  // The begin of a truncated response may still wait for the link.
  if (outcome.kind === 'failed' || outcome.kind === 'truncated') {
    const text = '{"error":"the instance failed","outcome":"unknown"}';
    respondWithJson(response, STATUS_BAD_GATEWAY, idHeader, text);
    return;
  }
  const { refusal } = outcome;
  const headers = [...idHeader, ...formatRetryAfter(refusal, random)];
  respondWithJson(response, refusal.status, headers, formatRefusal(refusal));
};
