const FIRST_INTERIM_STATUS = 100;
const SWITCHING_PROTOCOLS = 101;
const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

/**
 * Returns whether a status belongs to an interim response, after which another one follows. A
 * change of the protocol is none, as no request of this stack asks for it.
 */
export const isInterimStatus = (status: number): boolean => (
  status >= FIRST_INTERIM_STATUS && status < FIRST_FINAL_STATUS && status !== SWITCHING_PROTOCOLS
);

/**
 * Checks the status of a response that is not interim. RFC 9110 section 15 defines the statuses up
 * to 599; what follows any other one is no response and tells nothing about its request.
 *
 * @param status Status code of the status line.
 * @returns Why it is not the status of a final response, or undefined if it is.
 *
 * @example
 * findStatusFault(600); // 'the status 600 is not that of a response'
 */
export const findStatusFault = (status: number): string | undefined => {
  if (status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS) return undefined;
  return `the status ${String(status).padStart(3, '0')} is not that of a response`;
};
