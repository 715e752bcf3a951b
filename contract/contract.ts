import * as z from 'zod';

const MAX_DEADLINE_MS = 3_600_000;
const MAX_SLOT_COUNT = 32_768;
const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;

const name = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/u,
  'must be lower-case letters, digits, ".", "_" or "-"',
);

const method = z.string().regex(/^[A-Z]+$/u, 'must be an upper-case HTTP method');

const tokenHash = z.string().regex(/^[0-9a-f]{64}$/u, 'must be a SHA-256 hash in lower-case hex');

const isPowerOfTwo = (value: number) => Number.isInteger(Math.log2(value));

/** Classes of requests, ordered by expected duration, shortest first. */
export const requestClasses = ['check', 'lookup', 'submission', 'bulk'] as const;

const keySourceSchema = z.strictObject({
  from: z.enum(['path', 'header', 'query']),
  name: z.string().min(1).max(100),
}).readonly();

const routeSchema = z.strictObject({
  name,
  host: z.string().min(1).max(253),
  path: z.string().startsWith('/').max(1000),
  methods: z.array(method).min(1).readonly(),
  service: name,
  class: z.enum(requestClasses),
  key: keySourceSchema.optional(),
  deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS),
  maxBodyBytes: z.int().min(0).default(DEFAULT_MAX_BODY_BYTES),
  retries: z.int().min(0).max(5).default(0),
  hedge: z.boolean().default(false),
}).readonly();

const serviceSchema = z.strictObject({
  name,
  keyed: z.boolean(),
  slotCount: z.int().min(1).max(MAX_SLOT_COUNT)
    .refine(isPowerOfTwo, 'must be a power of two')
    .optional(),
  checksGrants: z.boolean().default(false),
  refusalStatuses: z.array(z.int().min(400).max(599)).default([]).readonly(),
}).readonly();

const limitsSchema = z.strictObject({
  requestsPerSecond: z.number().positive(),
  concurrency: z.int().positive(),
}).readonly();

/** Schema of a contract. Unknown fields are rejected. */
export const contractSchema = z.strictObject({
  customer: name,
  tokenHashes: z.array(tokenHash).min(1).readonly(),
  share: z.number().positive().max(1000),
  limits: limitsSchema,
  services: z.array(serviceSchema).min(1).readonly(),
  routes: z.array(routeSchema).min(1).readonly(),
}).readonly();

/** Routes, services and limits of one customer. */
export type Contract = z.infer<typeof contractSchema>;

/** One route of a contract. */
export type Route = z.infer<typeof routeSchema>;

/** A service to which routes of a contract send requests. */
export type ServiceDefinition = z.infer<typeof serviceSchema>;

/** The part of a request that a route uses as the key. */
export type KeySource = z.infer<typeof keySourceSchema>;

/** Class of a request. */
export type RequestClass = (typeof requestClasses)[number];
