/**
 * Selects the endpoint at an address that several registrations name. Anyone may write a registration, so neither the
 * time of writing nor the start that it states decides: the endpoint itself states which instance it is, in the answer
 * to a probe or when it declines a request for another instance.
 *
 * @module
 */
import { type DirectEndpoint, type KnownEndpoint, supersedes } from "@redwingpin/fleet";

/** An address that several registrations name, or one registration and an endpoint at which requests still run. */
interface Claim {
    /** Endpoints that may be at the address: the registered ones and those at which requests still run. */
    endpoints: readonly DirectEndpoint[];
    /** Their instances and starts; another list makes the stated identity uncertain. */
    contestants: string;
    /** The instance that the endpoint has stated last. */
    identity: string | undefined;
    /** True if the endpoint has stated its identity since the list changed. */
    isSettled: boolean;
}

/** What is known of the endpoint at an address. */
export interface AddressOwner {
    /** The registration to use; `undefined` if the endpoint has stated that it is none of those registered. */
    readonly known: KnownEndpoint | undefined;
    /** The instance that the endpoint has stated since the registrations changed; absent if it has not. */
    readonly statedInstance?: string;
}

/** Decides which registration is used at each address. */
export class AddressClaims {
    private readonly claims = new Map<string, Claim>();

    /**
     * Selects among the registrations at an address. `current` are the endpoints that this process uses there and those at
     * which its requests still run. Until the endpoint has stated its identity, the one in use remains.
     */
    select(
        address: string,
        registered: readonly KnownEndpoint[],
        current: readonly DirectEndpoint[],
    ): AddressOwner {
        const [first] = registered;
        const isContested = registered.length > 1
            || current.some(({ instance }) => instance !== first.endpoint.instance);
        if (!isContested) {
            this.claims.delete(address);
            return { known: first };
        }
        const claim = this.claimFor(address, [...registered.map(({ endpoint }) => endpoint), ...current]);
        const identified = registered.find(({ endpoint }) => endpoint.instance === claim.identity);
        if (identified !== undefined || claim.isSettled) {
            return { known: identified, statedInstance: claim.isSettled ? claim.identity : undefined };
        }
        const inUse = registered.find(({ endpoint }) =>
            current.some(({ instance }) => instance === endpoint.instance)
        );
        // If none is in use, requests may go to the wrong instance, which declines them.
        return { known: inUse ?? registered.reduce((best, next) => supersedes(next, best) ? next : best) };
    }

    /** Deletes what is known of addresses that no registration names. */
    retain(addresses: ReadonlyMap<string, unknown>): void {
        for (const address of this.claims.keys()) {
            if (!addresses.has(address)) {
                this.claims.delete(address);
            }
        }
    }

    /** Records the instance that the endpoint at an address has stated; returns whether that changes anything. */
    recordIdentity(address: string, instance: string): boolean {
        const claim = this.claims.get(address);
        if (claim === undefined || (claim.isSettled && claim.identity === instance)) {
            return false;
        }
        claim.identity = instance;
        claim.isSettled = true;
        return true;
    }

    /** Contested addresses whose endpoint has not stated its identity since the list changed, and who may be there. */
    unsettled(): ReadonlyMap<string, readonly DirectEndpoint[]> {
        const entries = [...this.claims].filter(([, claim]) => !claim.isSettled);
        return new Map(entries.map(([address, { endpoints }]) => [address, endpoints]));
    }

    private claimFor(address: string, endpoints: readonly DirectEndpoint[]): Claim {
        const starts = new Set(endpoints.map(({ instance, startedAt }) => `${instance} ${startedAt ?? ""}`));
        const contestants = [...starts].sort().join("\n");
        const claim = this.claims.get(address)
            ?? { endpoints, contestants, identity: undefined, isSettled: false };
        claim.endpoints = endpoints;
        if (claim.contestants !== contestants) {
            claim.contestants = contestants;
            claim.isSettled = false;
        }
        this.claims.set(address, claim);
        return claim;
    }
}
