import { createServer } from 'node:net';
import { type Host, ports } from './node_process.ts';

/** Port of the metrics page, which the deploy file sets. */
const METRICS_PORT = 9464;
const FIRST_HOST = 11;
const ZONES = ['tozeur', 'nefta', 'degache'] as const;
const MAX_TRIES = 50;

const isFree = (ip: string, port: number) => new Promise<boolean>((resolve) => {
  const server = createServer();
  server.once('error', () => resolve(false));
  server.listen(port, ip, () => server.close(() => resolve(true)));
});

/**
 * Finds loopback addresses whose ports are free, one for each host.
 *
 * @param services Service of the instance of each host.
 * @returns The hosts.
 */
export const findHosts = async (services: readonly string[]): Promise<readonly Host[]> => {
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const second = 20 + Math.floor(Math.random() * 200);
    const network = `127.${second}.${Math.floor(Math.random() * 250)}`;
    const hosts = services.map((service, index): Host => ({
      name: `host-${index + 1}`,
      zone: ZONES[index % ZONES.length]!,
      service,
      ip: `${network}.${FIRST_HOST + index}`,
    }));
    const checks = hosts.flatMap(({ ip }) => (
      [...Object.values(ports), METRICS_PORT].map((port) => isFree(ip, port))
    ));
    if ((await Promise.all(checks)).every(Boolean)) return hosts;
  }
  throw new Error('no free loopback addresses');
};
