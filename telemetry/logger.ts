import bunyan from 'bunyan';

/** Severity of a log line. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error';

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes the log lines of one component, whose name prefixes each message. */
export interface Logger {
  readonly debug: (fields: LogFields, message: string) => void;
  readonly info: (fields: LogFields, message: string) => void;
  readonly warn: (fields: LogFields, message: string) => void;
  readonly error: (fields: LogFields, message: string) => void;
  /** Returns the logger of another component of the same node. */
  readonly forComponent: (component: string) => Logger;
}

/** Options of a logger. */
export interface LoggerOptions {
  readonly level?: LogLevel;
  readonly node?: string;
  /** Destination of the log lines; standard output by default. */
  readonly stream?: NodeJS.WritableStream;
}

/** Fields that are removed from log lines, compared in lower case. */
const SECRET_FIELDS = new Set(['authorization', 'token', 'credential', 'password', 'secret']);

const omitSecrets = (fields: LogFields): LogFields => {
  for (const field of Object.keys(fields)) {
    if (SECRET_FIELDS.has(field.toLowerCase())) {
      const entries = Object.entries(fields)
        .filter(([name]) => !SECRET_FIELDS.has(name.toLowerCase()));
      return Object.fromEntries(entries);
    }
  }
  return fields;
};

const createPrefixedLogger = (base: bunyan, component: string): Logger => ({
  debug: (fields, message) => base.debug(omitSecrets(fields), `${component}: ${message}`),
  info: (fields, message) => base.info(omitSecrets(fields), `${component}: ${message}`),
  warn: (fields, message) => base.warn(omitSecrets(fields), `${component}: ${message}`),
  error: (fields, message) => base.error(omitSecrets(fields), `${component}: ${message}`),
  forComponent: (other) => createPrefixedLogger(base, other),
});

/**
 * Creates the logger of a component.
 *
 * @param component Prefix of every message, for example `routing`.
 * @param options Level, node name and destination.
 * @returns The logger.
 *
 * @example
 * const logger = createLogger('routing', { node: 'host-1' });
 * logger.info({ request: 'r1', instance: 'i1' }, 'chose the owner of the slot');
 */
export const createLogger = (component: string, options: LoggerOptions = {}): Logger => {
  const base = bunyan.createLogger({
    name: 'marjoramhollow',
    level: options.level ?? 'info',
    stream: options.stream ?? process.stdout,
    ...(options.node === undefined ? {} : { node: options.node }),
  });
  return createPrefixedLogger(base, component);
};

const discard = () => undefined;

/** A logger that discards all lines: the default of some options, and for tests. */
export const noopLogger: Logger = {
  debug: discard, info: discard, warn: discard, error: discard, forComponent: () => noopLogger,
};
