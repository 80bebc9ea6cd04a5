/**
 * Obtains permits to send requests to endpoints that state a limit, from the routers that own these endpoints, and issues
 * the permits of the endpoints that this router owns.
 *
 * @module
 */
import {
    type Clock,
    type Logger,
    type Milliseconds,
    type RandomSource,
    RendezvousOwnerCache,
} from "@redwingpin/common";
import type { PermitReply, PermitRequest } from "@redwingpin/fleet";
import type { Choice } from "../decision/endpointChoice.js";
import type { EndpointState } from "../decision/endpointTable.js";
import { PermitIssuer } from "../decision/permitIssuer.js";

/** Delay before an owner that did not answer is asked again; by then another router may own the endpoint. */
const unansweredDelay: Milliseconds = 300;

/** Options of {@link EndpointPermits}. */
export interface EndpointPermitsOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly random: RandomSource;
    /** Name of this router among the live ones. */
    readonly ownName: string;
    /** Sorted names of the live routers, including this one. */
    readonly liveRouterNames: () => readonly string[];
    /** Number of routers that answered before and are unresponsive now. */
    readonly unresponsiveRouterCount: () => number;
    /** Asks another router; resolves with `undefined` if it does not answer. */
    readonly askRouter: (owner: string, request: PermitRequest) => Promise<PermitReply | undefined>;
}

/** The permits of one router. */
export class EndpointPermits {
    private readonly owners = new RendezvousOwnerCache();
    private readonly issuer: PermitIssuer;

    constructor(private readonly options: EndpointPermitsOptions) {
        this.issuer = new PermitIssuer(options.random);
    }

    /** Resolves with whether the request may be sent to the endpoint now. If not, the endpoint is withheld for a while. */
    async acquire({ endpointState, tokensToProcess }: Choice): Promise<boolean> {
        const { endpoint, permitThreshold, signals } = endpointState;
        const { limit } = signals;
        if (limit === undefined) {
            return true;
        }
        const { clock } = this.options;
        signals.withholdWhileAsking(true);
        const reply = await this.ask({
            endpoint: endpoint.instance,
            perSecond: limit.perSecond,
            age: clock.now() - limit.statedAt,
        }).finally(() => signals.withholdWhileAsking(false));
        const now = clock.now();
        if (reply !== undefined) {
            permitThreshold.record(tokensToProcess, reply.kind !== "denied");
        }
        if (reply?.kind === "unlimited") {
            signals.endLimit(now - reply.age);
        }
        if (reply?.kind === "granted" || signals.limit === undefined) {
            return true;
        }
        signals.withholdUntil(now + (reply?.kind === "denied" ? reply.retryAfter : unansweredDelay));
        return false;
    }

    /** Tells the owner of an endpoint that it states no limit any more, so that other routers learn it. */
    reportNoLimit(endpointState: EndpointState): void {
        void this.ask({ endpoint: endpointState.endpoint.instance, age: 0 });
    }

    /** Answers a router that takes this one for the owner of the endpoint. */
    issue(router: string, request: PermitRequest): PermitReply {
        const live = Math.max(1, this.options.liveRouterNames().length);
        const share = live / (live + this.options.unresponsiveRouterCount());
        return this.issuer.answer(router, request, share, this.options.clock.now());
    }

    private async ask(request: PermitRequest): Promise<PermitReply | undefined> {
        const { askRouter, liveRouterNames, ownName } = this.options;
        const owner = this.owners.ownerOf(request.endpoint, liveRouterNames());
        if (owner === undefined || owner === ownName) {
            return this.issue(ownName, request);
        }
        const reply = await askRouter(owner, request);
        if (reply === undefined) {
            this.options.logger.warn("owner of an endpoint did not answer a request for a permit", {
                endpoint: request.endpoint,
                owner,
            });
        }
        return reply;
    }
}
