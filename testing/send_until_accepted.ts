import { setTimeout as sleep } from 'node:timers/promises';

/** What a caller sees of an answer. */
export interface TextAnswer {
  readonly status: number | undefined;
  readonly text: string;
}

/** Limits how often a request is sent again that was refused as not run. */
const MAX_ATTEMPTS = 20;
const RETRY_PAUSE_MS = 50;

/**
 * Sends a request as callers do, again after each refusal that says that it was not run.
 *
 * @param send Sends the request once.
 * @param onRefused Called with each refusal after which the request is sent again.
 * @returns The first answer that is no such refusal, or the last one after 20 attempts.
 *
 * @example
 * const { status } = await sendUntilAccepted(() => send('/reads/a'));
 */
export const sendUntilAccepted = async <Answer extends TextAnswer>(
  send: () => Promise<Answer>,
  onRefused: (answer: Answer) => void = () => undefined,
): Promise<Answer> => {
  for (let attempt = 1; ; attempt += 1) {
    const answer = await send();
    const isRefused = answer.status === 503 && answer.text.includes('"outcome":"not run"');
    if (!isRefused || attempt === MAX_ATTEMPTS) return answer;
    onRefused(answer);
    await sleep(RETRY_PAUSE_MS);
  }
};
