import { measureFleetTraffic } from './_fleet_traffic.ts';

/**
 * Measures the control traffic of a fleet that is too large for the run time of the `capacity`
 * benchmark. Usage: `npx tsx bench/fleet_main.ts [NODES [SLOTS]]`.
 */
const [nodes = '64', slots = '4096'] = process.argv.slice(2);
const startMs = performance.now();
console.log(JSON.stringify(await measureFleetTraffic(Number(nodes), Number(slots), 1)));
const { user, system } = process.cpuUsage();
console.log(`${Math.round((performance.now() - startMs) / 1000)} s, processor ${Math.round(
  (user + system) / 1e6,
)} s, resident ${Math.round(process.memoryUsage().rss / 1e6)} MB`);
process.exit(0);
