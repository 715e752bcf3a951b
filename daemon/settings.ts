import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import { describeSchemaError, SettingsError } from '../errors/mod.ts';

const STEP = 'settings.parse';
const MIN_CREDENTIAL_LENGTH = 16;

const address = z.string().regex(
  /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/u,
  'must be an IP address and a port, for example 127.0.0.1:8080',
);

const identifier = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/u,
  'must be letters, digits, ".", "_" or "-"',
);

const credential = z.string().min(MIN_CREDENTIAL_LENGTH);

const settingsSchema = z.strictObject({
  node: identifier,
  region: identifier,
  failureDomain: identifier,
  listen: z.strictObject({
    caller: address,
    peer: address,
    control: address,
    operator: address,
  }).readonly(),
  store: z.strictObject({
    url: z.url({ protocol: /^https?$/u }),
    timeoutMs: z.int().min(10).max(10_000).default(500),
    callsPerSecond: z.number().min(1).max(1000).optional(),
  }).readonly(),
  seeds: z.array(address).default([]).readonly(),
  credentials: z.strictObject({
    fleet: credential,
    operator: credential,
    announce: credential,
  }).readonly(),
  tls: z.strictObject({
    certificateFile: z.string().min(1),
    keyFile: z.string().min(1),
    authorityFile: z.string().min(1),
  }).readonly().optional(),
  log: z.strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
  }).readonly().default({ level: 'info' }),
  metrics: z.strictObject({
    host: z.string().min(1),
    port: z.int().min(1).max(65_535),
  }).readonly().optional(),
}).readonly();

/** Settings of one node. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Parses and validates settings.
 *
 * @param text The settings as JSON text.
 * @param source Origin of the text, for example a file path; named in the error.
 * @returns The settings, or an error that names the invalid field.
 *
 * @example
 * const settings = parseSettings(await readFile(path, 'utf8'), path);
 */
export const parseSettings = (text: string, source = ''): Result<Settings, SettingsError> => {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch (cause) {
    const options = { step: STEP, peer: source, cause };
    return err(new SettingsError('(root)', 'is not valid JSON', options));
  }
  const parsed = settingsSchema.safeParse(json);
  if (parsed.success) return ok(parsed.data);
  const { field, reason } = describeSchemaError(parsed.error);
  return err(new SettingsError(field, reason, { step: STEP, peer: source }));
};
