import { readFile } from 'node:fs/promises';
import { type Contract, diffContracts, parseContract } from '../contract/mod.ts';
import { parseSettings } from '../daemon/mod.ts';
import { parsePlatformSettings } from '../platform/mod.ts';
import { explainRequest } from './explain_request.ts';
import type { StepError } from '../errors/mod.ts';
import { OperatorApiError, type OperatorClient } from './_operator_client.ts';
import { exitStatuses, formatTable, type Output } from './_output.ts';
import { runNode } from './_run_node.ts';

/** Parsed arguments and options of one invocation, with the client and output to use. */
export interface CommandContext {
  readonly args: readonly string[];
  readonly settingsFile: string | undefined;
  readonly revision: number | undefined;
  readonly json: boolean;
  readonly client: OperatorClient;
  readonly output: Output;
}

/** Runs one command and returns its exit status. */
export type Command = (context: CommandContext) => Promise<number>;

const HTTP_CONFLICT = 409;

const reportError = (context: CommandContext, error: StepError): number => {
  context.output.error(error.message);
  if (!(error instanceof OperatorApiError) || error.status !== HTTP_CONFLICT) {
    return exitStatuses.failed;
  }
  const { revision, differences } = error.details;
  if (revision !== undefined) context.output.error(`revision in force: ${String(revision)}`);
  for (const difference of Array.isArray(differences) ? differences : []) {
    context.output.error(JSON.stringify(difference));
  }
  return exitStatuses.conflict;
};

const usageError = (context: CommandContext, reason: string): number => {
  context.output.error(reason);
  return exitStatuses.usage;
};

const print = (context: CommandContext, value: unknown, text: string): number => {
  context.output.print(context.json ? JSON.stringify(value) : text);
  return exitStatuses.ok;
};

const readTextFile = async (context: CommandContext, file: string): Promise<string | undefined> => {
  try {
    return await readFile(file, 'utf8');
  } catch {
    context.output.error(`cannot read ${file}`);
    return undefined;
  }
};

const readStandardInput = async (): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of process.stdin) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
};

/** `explain REQUEST-ID [FILE...]`: reads the log files of any nodes, or standard input. */
const explain: Command = async (context) => {
  const [request, ...files] = context.args;
  if (request === undefined) return usageError(context, 'explain: REQUEST-ID is missing');
  const texts: string[] = [];
  for (const file of files) {
    const text = await readTextFile(context, file);
    if (text === undefined) return exitStatuses.usage;
    texts.push(text);
  }
  if (files.length === 0) texts.push(await readStandardInput());
  const explanation = explainRequest(texts.flatMap((text) => text.split('\n')), request);
  if (explanation.lines.length === 0) {
    context.output.error(`no log line found for request ${request}`);
    return exitStatuses.failed;
  }
  const rows = explanation.lines.map(({
    time, host, request: id, sentence, fields,
  }) => [time, host, id, sentence, JSON.stringify(fields)]);
  const header = ['time', 'node', 'request', 'event', 'inputs'];
  return print(context, explanation, `${formatTable(header, rows)}\ncause: ${explanation.cause}`);
};

interface StoredContract {
  readonly customer: string;
  readonly revision: number;
  readonly contract: Contract;
}

interface NodeStatus {
  readonly node: string;
  readonly error?: string;
  readonly status?: {
    readonly versions: readonly { readonly key: string; readonly revision: number }[];
    readonly inFlight: number;
    readonly draining: boolean;
  };
}

const contractList: Command = async (context) => {
  const response = await context.client.call('GET', '/v1/contracts');
  if (response.isErr()) return reportError(context, response.error);
  const contracts = response.value as readonly StoredContract[];
  const rows = contracts.map(({ customer, revision }) => [customer, String(revision)]);
  return print(context, contracts, formatTable(['customer', 'revision'], rows));
};

const contractGet: Command = async (context) => {
  const [customer] = context.args;
  if (customer === undefined) return usageError(context, 'contract get: CUSTOMER is missing');
  const response = await context.client.call(
    'GET',
    `/v1/contracts/${encodeURIComponent(customer)}`,
  );
  if (response.isErr()) return reportError(context, response.error);
  const stored = response.value as StoredContract;
  return print(context, stored, JSON.stringify(stored.contract, undefined, 2));
};

const readContract = async (context: CommandContext) => {
  const [file] = context.args;
  if (file === undefined) {
    usageError(context, 'the contract FILE is missing');
    return undefined;
  }
  const text = await readTextFile(context, file);
  if (text === undefined) return undefined;
  const parsed = parseContract(text, file);
  if (parsed.isOk()) return parsed.value;
  context.output.error(parsed.error.message);
  return undefined;
};

const contractCheck: Command = async (context) => {
  const contract = await readContract(context);
  if (contract === undefined) return exitStatuses.usage;
  return print(context, contract, `contract of '${contract.customer}' is valid`);
};

const contractDiff: Command = async (context) => {
  const proposed = await readContract(context);
  if (proposed === undefined) return exitStatuses.usage;
  const path = `/v1/contracts/${encodeURIComponent(proposed.customer)}`;
  const response = await context.client.call('GET', path);
  const isNew = response.isErr() && response.error instanceof OperatorApiError
    && response.error.status === 404;
  if (response.isErr() && !isNew) return reportError(context, response.error);
  const current = response.isOk() ? (response.value as StoredContract) : undefined;
  const differences = diffContracts(current?.contract, proposed);
  const rows = differences.map(({ field, before, after }) => [
    field, JSON.stringify(before) ?? '', JSON.stringify(after) ?? '',
  ]);
  const value = { revision: current?.revision ?? 0, differences };
  return print(context, value, formatTable(['field', 'in force', 'proposed'], rows));
};

const contractApply: Command = async (context) => {
  const desired = await readContract(context);
  if (desired === undefined) return exitStatuses.usage;
  if (context.revision === undefined) {
    return usageError(context, 'contract apply: --revision N is missing (0 for a new contract)');
  }
  const path = `/v1/contracts/${encodeURIComponent(desired.customer)}?revision=${context.revision}`;
  const response = await context.client.call('PUT', path, JSON.stringify(desired));
  if (response.isErr()) return reportError(context, response.error);
  const { customer, revision } = response.value as StoredContract;
  return print(
    context,
    response.value,
    `contract of '${customer}' accepted at revision ${revision}`,
  );
};

const contractStatus: Command = async (context) => {
  const [customer] = context.args;
  if (customer === undefined) return usageError(context, 'contract status: CUSTOMER is missing');
  const response = await context.client.call('GET', '/v1/fleet');
  if (response.isErr()) return reportError(context, response.error);
  const key = `contracts/${customer}`;
  const nodes = (response.value as readonly NodeStatus[]).map(({ node, status, error }) => ({
    node,
    revision: status?.versions.find((version) => version.key === key)?.revision ?? 0,
    error,
  }));
  const rows = nodes.map(({ node, revision, error }) => [node, error ?? String(revision)]);
  return print(context, nodes, formatTable(['node', 'revision'], rows));
};

const placementShow: Command = async (context) => {
  const [service] = context.args;
  if (service === undefined) return usageError(context, 'placement show: SERVICE is missing');
  const response = await context.client.call('GET', `/v1/placement/${encodeURIComponent(service)}`);
  if (response.isErr()) return reportError(context, response.error);
  const record = response.value as {
    readonly version: number;
    readonly owners: readonly { readonly id: string; readonly state: string }[];
    readonly slots: readonly { readonly owner?: string }[];
  };
  const rows = record.owners.map(({ id, state }) => [
    id, state, String(record.slots.filter(({ owner }) => owner === id).length),
  ]);
  const text = `version ${record.version}\n${formatTable(['owner', 'state', 'slots'], rows)}`;
  return print(context, record, text);
};

const placementConfirmLost: Command = async (context) => {
  const [service, owner] = context.args;
  if (service === undefined || owner === undefined) {
    return usageError(context, 'placement confirm-lost: SERVICE and OWNER are required');
  }
  const path = `/v1/placement/${encodeURIComponent(service)}/confirm-lost`;
  const response = await context.client.call('POST', path, JSON.stringify({ owner }));
  if (response.isErr()) return reportError(context, response.error);
  return print(context, response.value, `owner ${owner} is confirmed as lost`);
};

const drain: Command = async (context) => {
  const response = await context.client.call('POST', '/v1/drain');
  if (response.isErr()) return reportError(context, response.error);
  return print(context, response.value, 'the node is draining');
};

const status: Command = async (context) => {
  const response = await context.client.call('GET', '/v1/fleet');
  if (response.isErr()) return reportError(context, response.error);
  const nodes = response.value as readonly NodeStatus[];
  const rows = nodes.map((entry) => [
    entry.node,
    entry.error ?? (entry.status?.draining ? 'draining' : 'serving'),
    String(entry.status?.inFlight ?? ''),
  ]);
  return print(context, nodes, formatTable(['node', 'state', 'in flight'], rows));
};

const settingsCheck: Command = async (context) => {
  const [file] = context.args;
  if (file === undefined) return usageError(context, 'settings check: FILE is missing');
  const text = await readTextFile(context, file);
  if (text === undefined) return exitStatuses.usage;
  // Only settings rendered for the platform contain an announcement interval.
  const parse = text.includes('"announceInterval"') ? parsePlatformSettings : parseSettings;
  const parsed = parse(text, file);
  if (parsed.isOk()) return print(context, { valid: true }, `settings in ${file} are valid`);
  context.output.error(parsed.error.message);
  return exitStatuses.usage;
};

const node: Command = async (context) => {
  if (context.settingsFile === undefined) return usageError(context, 'node: --settings is missing');
  const text = await readTextFile(context, context.settingsFile);
  if (text === undefined) return exitStatuses.usage;
  const parsed = parseSettings(text, context.settingsFile);
  if (parsed.isOk()) return runNode(parsed.value);
  context.output.error(parsed.error.message);
  return exitStatuses.usage;
};

/** The commands by name; a name has one or two words. */
export const commands: Readonly<Record<string, Command>> = {
  explain,
  node,
  drain,
  status,
  'contract apply': contractApply,
  'contract check': contractCheck,
  'contract diff': contractDiff,
  'contract get': contractGet,
  'contract list': contractList,
  'contract status': contractStatus,
  'placement confirm-lost': placementConfirmLost,
  'placement show': placementShow,
  'settings check': settingsCheck,
};
