import { readFile } from 'node:fs/promises';
import { type Contract, diffContracts, parseContract } from '../contract/mod.ts';
import { parseSettings } from '../daemon/mod.ts';
import { parsePlatformSettings } from '../platform/mod.ts';
import { explainRequest } from './explain_request.ts';
import type { StepError } from '../errors/mod.ts';
import { OperatorError, type OperatorClient } from './_operator_client.ts';
import { exitStatuses, formatTable, type Output } from './_output.ts';
import { runNode } from './_run_node.ts';

/** Options and arguments of one call of the command line. */
export interface CommandInput {
  readonly args: readonly string[];
  readonly settingsFile: string | undefined;
  readonly revision: number | undefined;
  readonly json: boolean;
  readonly client: OperatorClient;
  readonly output: Output;
}

/** Runs one command and returns its exit status. */
export type Command = (input: CommandInput) => Promise<number>;

const CONFLICT_STATUS = 409;

const fail = (input: CommandInput, error: StepError): number => {
  input.output.error(error.message);
  if (!(error instanceof OperatorError) || error.status !== CONFLICT_STATUS) {
    return exitStatuses.failed;
  }
  const { revision, differences } = error.details;
  if (revision !== undefined) input.output.error(`revision in force: ${String(revision)}`);
  for (const difference of Array.isArray(differences) ? differences : []) {
    input.output.error(JSON.stringify(difference));
  }
  return exitStatuses.conflict;
};

const usage = (input: CommandInput, reason: string): number => {
  input.output.error(reason);
  return exitStatuses.usage;
};

const print = (input: CommandInput, value: unknown, text: string): number => {
  input.output.out(input.json ? JSON.stringify(value) : text);
  return exitStatuses.ok;
};

const readText = async (input: CommandInput, file: string): Promise<string | undefined> => {
  try {
    return await readFile(file, 'utf8');
  } catch {
    input.output.error(`cannot read ${file}`);
    return undefined;
  }
};

const readStandardInput = async (): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of process.stdin) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
};

/** `explain REQUEST-ID [FILE...]`: reads log files of any nodes, or standard input. */
const explain: Command = async (input) => {
  const [request, ...files] = input.args;
  if (request === undefined) return usage(input, 'explain: the request identifier is missing');
  const texts: string[] = [];
  for (const file of files) {
    const text = await readText(input, file);
    if (text === undefined) return exitStatuses.usage;
    texts.push(text);
  }
  if (files.length === 0) texts.push(await readStandardInput());
  const explanation = explainRequest(texts.flatMap((text) => text.split('\n')), request);
  if (explanation.lines.length === 0) {
    input.output.error(`no log line names request ${request}`);
    return exitStatuses.failed;
  }
  const rows = explanation.lines.map(({
    time, host, request: id, sentence, fields,
  }) => [time, host, id, sentence, JSON.stringify(fields)]);
  const header = ['time', 'node', 'request', 'event', 'inputs'];
  return print(input, explanation, `${formatTable(header, rows)}\ncause: ${explanation.cause}`);
};

interface ContractRevision {
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

const contractList: Command = async (input) => {
  const answer = await input.client.call('GET', '/v1/contracts');
  if (answer.isErr()) return fail(input, answer.error);
  const contracts = answer.value as readonly ContractRevision[];
  const rows = contracts.map(({ customer, revision }) => [customer, String(revision)]);
  return print(input, contracts, formatTable(['customer', 'revision'], rows));
};

const contractGet: Command = async (input) => {
  const [customer] = input.args;
  if (customer === undefined) return usage(input, 'contract get: the customer is missing');
  const answer = await input.client.call('GET', `/v1/contracts/${encodeURIComponent(customer)}`);
  if (answer.isErr()) return fail(input, answer.error);
  const found = answer.value as ContractRevision;
  return print(input, found, JSON.stringify(found.contract, undefined, 2));
};

const readContract = async (input: CommandInput) => {
  const [file] = input.args;
  if (file === undefined) {
    usage(input, 'the contract file is missing');
    return undefined;
  }
  const text = await readText(input, file);
  if (text === undefined) return undefined;
  const parsed = parseContract(text, file);
  if (parsed.isOk()) return parsed.value;
  input.output.error(parsed.error.message);
  return undefined;
};

const contractCheck: Command = async (input) => {
  const contract = await readContract(input);
  if (contract === undefined) return exitStatuses.usage;
  return print(input, contract, `contract of '${contract.customer}' is valid`);
};

const contractDiff: Command = async (input) => {
  const proposed = await readContract(input);
  if (proposed === undefined) return exitStatuses.usage;
  const path = `/v1/contracts/${encodeURIComponent(proposed.customer)}`;
  const answer = await input.client.call('GET', path);
  const isNew = answer.isErr() && answer.error instanceof OperatorError
    && answer.error.status === 404;
  if (answer.isErr() && !isNew) return fail(input, answer.error);
  const current = answer.isOk() ? (answer.value as ContractRevision) : undefined;
  const differences = diffContracts(current?.contract, proposed);
  const rows = differences.map(({ field, before, after }) => [
    field, JSON.stringify(before) ?? '', JSON.stringify(after) ?? '',
  ]);
  const value = { revision: current?.revision ?? 0, differences };
  return print(input, value, formatTable(['field', 'in force', 'proposed'], rows));
};

const contractApply: Command = async (input) => {
  const contract = await readContract(input);
  if (contract === undefined) return exitStatuses.usage;
  if (input.revision === undefined) {
    return usage(input, 'contract apply: --revision N is missing (0 for a new contract)');
  }
  const path = `/v1/contracts/${encodeURIComponent(contract.customer)}?revision=${input.revision}`;
  const answer = await input.client.call('PUT', path, JSON.stringify(contract));
  if (answer.isErr()) return fail(input, answer.error);
  const { customer, revision } = answer.value as ContractRevision;
  return print(input, answer.value, `contract of '${customer}' accepted at revision ${revision}`);
};

const contractStatus: Command = async (input) => {
  const [customer] = input.args;
  if (customer === undefined) return usage(input, 'contract status: the customer is missing');
  const answer = await input.client.call('GET', '/v1/fleet');
  if (answer.isErr()) return fail(input, answer.error);
  const key = `contracts/${customer}`;
  const nodes = (answer.value as readonly NodeStatus[]).map(({ node, status, error }) => ({
    node,
    revision: status?.versions.find((version) => version.key === key)?.revision ?? 0,
    error,
  }));
  const rows = nodes.map(({ node, revision, error }) => [node, error ?? String(revision)]);
  return print(input, nodes, formatTable(['node', 'revision'], rows));
};

const placementShow: Command = async (input) => {
  const [service] = input.args;
  if (service === undefined) return usage(input, 'placement show: the service is missing');
  const answer = await input.client.call('GET', `/v1/placement/${encodeURIComponent(service)}`);
  if (answer.isErr()) return fail(input, answer.error);
  const record = answer.value as {
    readonly version: number;
    readonly owners: readonly { readonly id: string; readonly state: string }[];
    readonly slots: readonly { readonly owner?: string }[];
  };
  const rows = record.owners.map(({ id, state }) => [
    id, state, String(record.slots.filter(({ owner }) => owner === id).length),
  ]);
  const text = `version ${record.version}\n${formatTable(['owner', 'state', 'slots'], rows)}`;
  return print(input, record, text);
};

const placementConfirmLost: Command = async (input) => {
  const [service, owner] = input.args;
  if (service === undefined || owner === undefined) {
    return usage(input, 'placement confirm-lost: SERVICE and OWNER are needed');
  }
  const path = `/v1/placement/${encodeURIComponent(service)}/confirm-lost`;
  const answer = await input.client.call('POST', path, JSON.stringify({ owner }));
  if (answer.isErr()) return fail(input, answer.error);
  return print(input, answer.value, `owner ${owner} is confirmed as lost`);
};

const drain: Command = async (input) => {
  const answer = await input.client.call('POST', '/v1/drain');
  if (answer.isErr()) return fail(input, answer.error);
  return print(input, answer.value, 'the node is draining');
};

const status: Command = async (input) => {
  const answer = await input.client.call('GET', '/v1/fleet');
  if (answer.isErr()) return fail(input, answer.error);
  const nodes = answer.value as readonly NodeStatus[];
  const rows = nodes.map((entry) => [
    entry.node,
    entry.error ?? (entry.status?.draining ? 'draining' : 'serving'),
    String(entry.status?.inFlight ?? ''),
  ]);
  return print(input, nodes, formatTable(['node', 'state', 'in flight'], rows));
};

const settingsCheck: Command = async (input) => {
  const [file] = input.args;
  if (file === undefined) return usage(input, 'settings check: the settings file is missing');
  const text = await readText(input, file);
  if (text === undefined) return exitStatuses.usage;
  // Only settings rendered for the platform name the interval of announcements.
  const parse = text.includes('"announceInterval"') ? parsePlatformSettings : parseSettings;
  const parsed = parse(text, file);
  if (parsed.isOk()) return print(input, { valid: true }, `settings in ${file} are valid`);
  input.output.error(parsed.error.message);
  return exitStatuses.usage;
};

const node: Command = async (input) => {
  if (input.settingsFile === undefined) return usage(input, 'node: --settings FILE is missing');
  const text = await readText(input, input.settingsFile);
  if (text === undefined) return exitStatuses.usage;
  const parsed = parseSettings(text, input.settingsFile);
  if (parsed.isOk()) return runNode(parsed.value);
  input.output.error(parsed.error.message);
  return exitStatuses.usage;
};

/** All commands by their words. */
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
