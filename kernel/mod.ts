/** The service container, which starts services in dependency order and finds them by name. */
export {
  createKernel, type FindService, type Kernel, type RunningService, type ServiceDefinition,
} from './kernel.ts';
