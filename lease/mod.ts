/** Leases of owners: witnesses, lease holders, takeover, and the check before each dispatch. */
export type {
  GrantRequest, NotOwned, Ownership, OwnershipTicket, UpstreamGrants,
} from './ownership.ts';
