/** The operators' command line. */
export { main } from './main.ts';
