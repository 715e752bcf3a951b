import { eventsOf, type History } from './history.ts';
import type { Finding } from './_finding.ts';

/** Finds submissions that began to execute more than once. */
export const findRepeatedSubmissions = (history: History): readonly Finding[] => {
  const findings: Finding[] = [];
  const started = new Map<string, string>();
  for (const event of eventsOf(history, 'execution start')) {
    const { at, submission, attempt } = event;
    if (event.requestClass !== 'submission') continue;
    const first = started.get(submission);
    if (first !== undefined) {
      findings.push({ at, detail: `${submission} ran as ${first} and again as ${attempt}` });
    }
    started.set(submission, attempt);
  }
  return findings;
};

/**
 * Finds refusals with the outcome `not run` of an attempt, or of a whole request, that an upstream
 * executed at any time before or after the refusal.
 */
export const findFalseNotRun = (history: History): readonly Finding[] => {
  const executed = new Map<string, number>();
  for (const { at, attempt, request } of eventsOf(history, 'execution start')) {
    executed.set(attempt, at);
    executed.set(request, at);
  }
  const findings: Finding[] = [];
  for (const refusal of eventsOf(history, 'refusal')) {
    if (refusal.outcome !== 'not run') continue;
    const subject = refusal.attempt ?? refusal.request;
    const executedAt = executed.get(subject);
    if (executedAt === undefined) continue;
    const detail = `${subject} was refused as 'not run' (${refusal.reason}), but its execution `
      + `began at ${executedAt} ms`;
    findings.push({ at: refusal.at, detail });
  }
  return findings;
};

/** Finds answers that are truncated unnoticed, duplicate, or meant for another request. */
export const findWrongAnswers = (history: History): readonly Finding[] => {
  const expected = new Map<string, string>();
  for (const { request, expectedBody } of eventsOf(history, 'request')) {
    expected.set(request, expectedBody);
  }
  const findings: Finding[] = [];
  const answered = new Set<string>();
  for (const {
    at, request, body, whole,
  } of eventsOf(history, 'answer')) {
    if (answered.has(request)) findings.push({ at, detail: `${request} was answered twice` });
    answered.add(request);
    const expectedBody = expected.get(request) ?? '';
    if (whole ? body !== expectedBody : !expectedBody.startsWith(body)) {
      findings.push({ at, detail: `${request} received '${body}' instead of '${expectedBody}'` });
    }
  }
  return findings;
};
