import { parseArgs } from 'node:util';

const HELP = `Usage: marjoramhollow COMMAND [OPTIONS]

  node --settings FILE   runs a node
`;

const EXIT_OK = 0;
const EXIT_USAGE = 2;

/**
 * Runs the command line.
 *
 * @param args Arguments after the program name.
 * @returns The exit status.
 *
 * @example
 * process.exitCode = await main(['--help']);
 */
export const main = async (args: readonly string[]): Promise<number> => {
  const { values } = parseArgs({
    args: [...args],
    allowPositionals: true,
    strict: false,
    options: { help: { type: 'boolean', short: 'h' } },
  });
  if (values.help) {
    process.stdout.write(HELP);
    return EXIT_OK;
  }
  process.stderr.write(HELP);
  return EXIT_USAGE;
};
