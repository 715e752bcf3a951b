import { parseArgs } from 'node:util';
import { createSystemClock } from '../clock/mod.ts';
import { startStoreServer } from './mod.ts';

const DEFAULT_PORT = '7000';

const { values } = parseArgs({ options: { port: { type: 'string', default: DEFAULT_PORT } } });

const server = await startStoreServer({ clock: createSystemClock(), port: Number(values.port) });
console.log(`stand-in store on ${server.url}`);
const stop = async () => {
  await server.close();
  process.exit();
};
process.once('SIGINT', stop);
process.once('SIGTERM', stop);
