import { readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { loadTlsMaterial, type TlsMaterial } from '../peer/mod.ts';
import { commands } from './_commands.ts';
import { createOperatorClient } from './_operator_client.ts';
import { exitStatuses, type Output, processOutput } from './_output.ts';
import { where } from './where.ts';

const DEFAULT_OPERATOR_URL = 'http://127.0.0.1:8380';

const HELP = `Usage: marjoramhollow COMMAND [OPTIONS]

Commands
  node --settings FILE               runs a node
  contract list                      lists the contracts in force
  contract get CUSTOMER              prints a contract
  contract check FILE                checks a contract without applying it
  contract diff FILE                 compares a contract with the one in force
  contract apply FILE --revision N   applies a contract that was based on revision N (0: new)
  contract status CUSTOMER           prints the revision in force on each node
  placement show SERVICE             prints the owners and their numbers of slots
  placement confirm-lost SERVICE OWNER
                                     confirms the loss of an owner whose witnesses are lost too
  drain                              starts a planned stop of the node
  status                             prints the state of each node
  settings check FILE                checks a settings file, or one rendered for the platform
  explain REQUEST-ID [FILE...]       prints the log lines of a request from all nodes in order of
                                     time and the cause of its outcome; reads standard input
                                     if no FILE is given
  where --node HOST:PORT --method METHOD --url URL [--key N]
                                     asks a node of the platform, at its peer listener, where a
                                     request would go now and why, without sending it

Options
  --operator URL           operator address of a node (default ${DEFAULT_OPERATOR_URL})
  --credential-file FILE   file that holds the operator credential; otherwise the environment
                           variable MARJORAMHOLLOW_OPERATOR_CREDENTIAL is used
  --certificate FILE, --key FILE, --authority FILE
                           PEM files for an https operator address that asks for a certificate
  --revision N             revision that a contract is based on
  --json                   prints JSON
  -h, --help               prints this text

Exit status: 0 success, 1 failure, 2 wrong usage or an invalid file, 3 conflict.`;

const parseOptions = (args: readonly string[]) => parseArgs({
  args: [...args],
  allowPositionals: true,
  options: {
    help: { type: 'boolean', short: 'h', default: false },
    json: { type: 'boolean', default: false },
    settings: { type: 'string' },
    operator: { type: 'string', default: DEFAULT_OPERATOR_URL },
    'credential-file': { type: 'string' },
    certificate: { type: 'string' },
    key: { type: 'string' },
    authority: { type: 'string' },
    revision: { type: 'string' },
    node: { type: 'string' },
    method: { type: 'string' },
    url: { type: 'string' },
  },
});

const tryParseOptions = (args: readonly string[], output: Output) => {
  try {
    return parseOptions(args);
  } catch (error) {
    output.error((error as Error).message);
    return undefined;
  }
};

const readCredential = async (file: string | undefined): Promise<string> => {
  if (file === undefined) return process.env.MARJORAMHOLLOW_OPERATOR_CREDENTIAL ?? '';
  return (await readFile(file, 'utf8')).trim();
};

interface TlsOptions {
  readonly certificate?: string;
  readonly key?: string;
  readonly authority?: string;
}

/** Loads the files of the TLS options; a returned string is an error message. */
const loadTlsOptions = async (
  { certificate, key, authority }: TlsOptions,
): Promise<TlsMaterial | string | undefined> => {
  if (certificate === undefined && key === undefined && authority === undefined) return undefined;
  if (certificate === undefined || key === undefined || authority === undefined) {
    return '--certificate, --key and --authority must be given together';
  }
  try {
    return await loadTlsMaterial({
      certificateFile: certificate, keyFile: key, authorityFile: authority,
    });
  } catch (error) {
    return `cannot read ${(error as NodeJS.ErrnoException).path}`;
  }
};

const findCommand = (words: readonly string[]) => {
  const [first = '', second = ''] = words;
  const pair = `${first} ${second}`;
  if (Object.hasOwn(commands, pair)) return { command: commands[pair], args: words.slice(2) };
  const command = Object.hasOwn(commands, first) ? commands[first] : undefined;
  return { command, args: words.slice(1) };
};

/**
 * Runs the command-line program.
 *
 * @param args Arguments after the program name.
 * @param output Destination of the text; by default stdout and stderr of the process.
 * @returns The exit status: 0 success, 1 failure, 2 wrong usage or an invalid file, 3 conflict.
 *
 * @example
 * process.exitCode = await main(['contract', 'list']);
 */
export const main = async (
  args: readonly string[],
  output: Output = processOutput,
): Promise<number> => {
  const options = tryParseOptions(args, output);
  if (options === undefined) return exitStatuses.usage;
  const { values, positionals } = options;
  if (values.help) {
    output.print(HELP);
    return exitStatuses.ok;
  }
  // A node is asked over HTTP without a credential, and `--key` names a key, not a file.
  if (positionals[0] === 'where') return where(values, values.json, output);
  const { command, args: commandArgs } = findCommand(positionals);
  if (command === undefined) {
    output.error(positionals.length === 0 ? HELP : `unknown command: ${positionals.join(' ')}`);
    return exitStatuses.usage;
  }
  const revision = values.revision === undefined ? undefined : Number(values.revision);
  if (values.revision !== undefined && !/^\d{1,15}$/u.test(values.revision)) {
    output.error('--revision must be a whole number');
    return exitStatuses.usage;
  }
  let credential: string;
  try {
    credential = await readCredential(values['credential-file']);
  } catch {
    output.error(`cannot read ${values['credential-file']}`);
    return exitStatuses.usage;
  }
  const tls = await loadTlsOptions(values);
  if (typeof tls === 'string') {
    output.error(tls);
    return exitStatuses.usage;
  }
  const client = createOperatorClient(values.operator, credential, tls);
  try {
    return await command({
      args: commandArgs,
      settingsFile: values.settings,
      revision,
      json: values.json,
      client,
      output,
    });
  } finally {
    await client.close();
  }
};
