/** Logs by bunyan and metrics by hot-shots. */
export {
  createLogger, type Logger, type LoggerOptions, type LogFields, type LogLevel, silentLogger,
} from './logger.ts';
export {
  createMetrics,
  type MetricName,
  metricNames,
  type Metrics,
  type MetricsOptions,
  type MetricTags,
  silentMetrics,
} from './metrics.ts';
