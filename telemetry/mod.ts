/** Logs, through bunyan, and metrics, sent to StatsD or exposed to Prometheus. */
export {
  createLogger, type Logger, type LoggerOptions, type LogFields, type LogLevel, noopLogger,
} from './logger.ts';
export {
  createMetrics,
  type MetricName,
  metricNames,
  type Metrics,
  type MetricsOptions,
  type MetricTags,
  noopMetrics,
} from './metrics.ts';
export { type RateLimitedLoggerOptions, createRateLimitedLogger } from './rate_limited_logger.ts';
export {
  createEventLoopMonitor,
  type EventLoopMonitor,
  type EventLoopMonitorOptions,
  type ProcessUsage,
  readProcessUsage,
} from './event_loop_monitor.ts';
export {
  createGarbageCollector, createHeapGuard, type HeapGuard, type HeapGuardOptions, type HeapUsage,
  readHeapUsage,
} from './heap_guard.ts';
export { createNodeMetrics, type NodeMetrics } from './node_metrics.ts';
export { type FailureSource, handleProcessFailures } from './process_failures.ts';
export { openLogOutput } from './output_stream.ts';
