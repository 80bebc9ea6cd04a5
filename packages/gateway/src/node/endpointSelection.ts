/**
 * Selects the endpoint for an attempt of one request: the best one, and the best of those that have room.
 *
 * @module
 */
import { type Milliseconds, RefusalReason } from "@redwingpin/common";
import type { RequestVersions } from "@redwingpin/delivery";
import { expectedRunning, maxHold, predictOutputTokens, roomAtEndpoint } from "@redwingpin/scheduling";
import {
    type Choice,
    chooseEndpoint,
    type PromptNeeds,
    type WeightsBounds,
} from "../decision/endpointChoice.js";
import type { EndpointModelSettings } from "../decision/endpointModelSettings.js";
import type { EndpointState, EndpointTable } from "../decision/endpointTable.js";
import type { PrefixPlacement } from "../decision/prefixPlacement.js";
import type { DirectRequest } from "./callerRequest.js";
import type { HeldRequests } from "./heldRequests.js";
import type { PromptContext } from "./promptContext.js";
import { allowedGroups } from "./versionOutcome.js";

/** Retry delay for callers when no endpoint can take a request. */
const noEndpointRetryAfter: Milliseconds = 400;

/** Dependencies of {@link EndpointSelection}. */
export interface SelectionContext {
    readonly dataCentre: string;
    readonly endpointTable: EndpointTable;
    readonly endpointModel: () => EndpointModelSettings;
    readonly held: HeldRequests;
    readonly weightsBounds: () => WeightsBounds;
    readonly routerCount: () => number;
    readonly random: () => number;
}

/** The request for which an endpoint is selected. */
export interface SelectedRequest {
    readonly request: DirectRequest;
    /** Instances that the request has already been sent to. */
    readonly tried: ReadonlySet<string>;
    readonly prompt: PromptContext | undefined;
    readonly placement: PrefixPlacement | undefined;
    /** Present while the service has an order for another software version. */
    readonly versions: RequestVersions | undefined;
}

/** Selects endpoints for one request. */
export class EndpointSelection {
    /** Loads of other routers as last computed: one selection needs them for every endpoint. */
    private lastLoads:
        | { readonly at: Milliseconds; readonly loads: ReadonlyMap<EndpointState, number>; }
        | undefined;

    constructor(private readonly context: SelectionContext, private readonly selected: SelectedRequest) {}

    /** Number of tokens that the request is expected to generate. */
    get outputTokens(): number {
        const { metadata } = this.selected.request;
        return this.context.endpointModel().cost ? predictOutputTokens(metadata) : metadata.outputTokens;
    }

    /** The best endpoint, whether or not it has room; `undefined` if none can take the request. */
    best(now: Milliseconds): Choice | undefined {
        for (const endpointStates of this.groups(now)) {
            const choice = this.choose(endpointStates, now);
            if (choice !== undefined) {
                return choice;
            }
        }
        return undefined;
    }

    /** `best` if it has room, or else the best of those that have; `undefined` if none has. */
    withRoom(best: Choice, now: Milliseconds): Choice | undefined {
        if (this.hasRoom(best, now)) {
            return best;
        }
        // Only endpoints of the same version: the share of a new version does not depend on where there is room.
        const group = this.groups(now).find((endpointStates) => endpointStates.includes(best.endpointState));
        const others = group?.filter((endpointState) => this.mayHaveRoom(endpointState, now)) ?? [];
        const other = others.length === 0 ? undefined : this.choose(others, now);
        if (other === undefined || !this.hasRoom(other, now)) {
            return undefined;
        }
        // An engine on which the request only waits for other prompts, and that is still the better one.
        return this.selected.prompt !== undefined && best.fits ? best : other;
    }

    /** As {@link withRoom} of the best endpoint. Costs little if no endpoint has room for any request. */
    findRoom(now: Milliseconds): Choice | undefined {
        if (!this.endpointStates().some((endpointState) => this.mayHaveRoom(endpointState, now))) {
            return undefined;
        }
        const best = this.best(now);
        return best && this.withRoom(best, now);
    }

    /** Why no endpoint can take the request, and when its caller may retry. */
    reasonForNone(now: Milliseconds): { readonly reason: RefusalReason; readonly retryAfter: Milliseconds; } {
        const { endpointTable, random } = this.context;
        const nextRequestAt = Math.min(
            ...endpointTable.ofService(this.selected.request.service.name).map((endpointState) =>
                endpointState.signals.nextRequestAt(now) ?? Infinity
            ),
        );
        if (!Number.isFinite(nextRequestAt)) {
            return { reason: RefusalReason.NoEndpoint, retryAfter: noEndpointRetryAfter };
        }
        const retryAfter = Math.max(noEndpointRetryAfter, nextRequestAt - now) * (1 + random());
        return { reason: RefusalReason.EndpointsLimited, retryAfter };
    }

    private hasRoom(choice: Choice, now: Milliseconds): boolean {
        if (this.selected.prompt === undefined) {
            return this.room(choice.endpointState, now) > 0;
        }
        return choice.fits && choice.startsIn <= this.startLimit && this.room(choice.endpointState, now) > 0;
    }

    /** False if the endpoint has no room for any request. */
    private mayHaveRoom(endpointState: EndpointState, now: Milliseconds): boolean {
        if (this.room(endpointState, now) === 0) {
            return false;
        }
        const { endpointTable } = this.context;
        const { tokensPerMillisecond } = endpointTable.speed(this.selected.request.service.name);
        const startsIn = this.selected.prompt === undefined
            ? 0
            : endpointState.totalWaitingTokens(now) / tokensPerMillisecond;
        return startsIn <= this.startLimit;
    }

    /** A request for which an endpoint has room starts within this time. */
    private get startLimit(): Milliseconds {
        return maxHold(this.selected.request.route.targetLatency);
    }

    private room(endpointState: EndpointState, now: Milliseconds): number {
        const { held, routerCount } = this.context;
        return roomAtEndpoint({
            slots: Math.max(1, endpointState.endpoint.slots),
            // An engine has room only if a request starts soon, so its queue doesn't count.
            queue: this.selected.prompt === undefined ? held.settings.endpointQueue : 0,
            own: endpointState.running,
            others: this.otherLoads(now).get(endpointState) ?? 0,
            routers: routerCount(),
        });
    }

    /** Requests of other routers that are expected to run at each endpoint of the service. */
    private otherLoads(now: Milliseconds): ReadonlyMap<EndpointState, number> {
        if (this.lastLoads?.at !== now) {
            this.lastLoads = { at: now, loads: this.computeOtherLoads(now) };
        }
        return this.lastLoads.loads;
    }

    private computeOtherLoads(now: Milliseconds): ReadonlyMap<EndpointState, number> {
        const { endpointTable } = this.context;
        const { service } = this.selected.request;
        const speed = endpointTable.speed(service.name);
        const states = endpointTable.ofService(service.name);
        const loads = expectedRunning(
            states.map((endpointState) => endpointState.reportedRunning(now)),
            speed.baseLatency + this.outputTokens * speed.timePerOutputToken,
        );
        return new Map(states.map((endpointState, index) => [endpointState, loads[index]]));
    }

    /** Groups of endpoints that a rollout allows for the request, the preferred one first. */
    private groups(now: Milliseconds): readonly (readonly EndpointState[])[] {
        return allowedGroups(this.selected.versions, this.endpointStates(), now);
    }

    /** Starts at a random one, since the first of those that are alike is selected. */
    private endpointStates(): readonly EndpointState[] {
        const { endpointTable, held, random } = this.context;
        const states = endpointTable.ofService(this.selected.request.service.name);
        if (!held.settings.enabled || this.selected.prompt !== undefined) {
            return states;
        }
        const first = Math.floor(random() * states.length);
        return [...states.slice(first), ...states.slice(0, first)];
    }

    private choose(endpointStates: readonly EndpointState[], now: Milliseconds): Choice | undefined {
        const { dataCentre, endpointModel, endpointTable, held, weightsBounds } = this.context;
        const { request, prompt, tried } = this.selected;
        return chooseEndpoint({
            endpointStates,
            now,
            dataCentre,
            speed: endpointTable.speed(request.service.name),
            targetLatency: request.route.targetLatency,
            elapsed: now - request.arrival,
            tried,
            isRepeatable: request.route.repeatable,
            model: endpointModel(),
            prompt: this.promptNeeds(now),
            bounds: weightsBounds(),
            needsRoom: held.settings.enabled,
            otherLoads: held.settings.enabled && prompt === undefined ? this.otherLoads(now) : undefined,
        });
    }

    private promptNeeds(now: Milliseconds): PromptNeeds | undefined {
        const { placement, prompt, request } = this.selected;
        if (prompt === undefined || placement === undefined) {
            return undefined;
        }
        return {
            model: prompt.model,
            desiredWeights: prompt.desiredWeights,
            promptTokens: request.metadata.promptTokens,
            outputTokens: this.outputTokens,
            reusable: (endpointState, version) => {
                const { cached, fetchable, ...rest } = placement.sourceFor(endpointState, version, now);
                return { tokens: cached + fetchable, ...rest };
            },
        };
    }
}
