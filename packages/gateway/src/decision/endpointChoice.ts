/**
 * Chooses the endpoint that a request should be sent to, by what the caller would get there: the time to the first
 * event against the route's target, and whether the weights are the ones that should run.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { type DesiredWeights, supersededAt } from "@redwingpin/fleet";
import type { EndpointState, ServiceSpeed } from "./endpointTable.js";

/** Weights that were named this long ago count as old at endpoints that do not serve them yet. */
export interface WeightsBounds {
    /** Requests begun on older weights are worth less from this time on. */
    readonly worthLessAfter: Milliseconds;
    /** Part of a request's worth that is lost then. */
    readonly lostShare: number;
    /** No request may begin on older weights from this time on. */
    readonly forbiddenAfter: Milliseconds;
}

/** What the choice is made from. */
export interface ChoiceInput {
    readonly views: readonly EndpointState[];
    readonly now: Milliseconds;
    readonly dataCentre: string;
    readonly speed: ServiceSpeed;
    readonly targetLatency: Milliseconds;
    /** Time since the caller sent the request. */
    readonly elapsed: Milliseconds;
    /** Instances that were tried already. */
    readonly tried: ReadonlySet<string>;
    /** Present for requests to model engines. */
    readonly prompt?: PromptNeeds;
    readonly bounds: WeightsBounds;
}

/** What a request to a model engine needs. */
export interface PromptNeeds {
    readonly model: string;
    readonly named: DesiredWeights | undefined;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Tokens of the prompt that need no reading at an endpoint, and the time to fetch them. */
    readonly ready: (view: EndpointState, version: number | undefined) => {
        readonly tokens: number;
        /** Further tokens that the endpoint is likely to have read for another request by then. */
        readonly hoped: number;
        readonly fetchTime: Milliseconds;
    };
}

/** A chosen endpoint. */
export interface Choice {
    readonly view: EndpointState;
    /** Version of the weights that it is believed to serve. */
    readonly version: number | undefined;
    /** Tokens that it must read. */
    readonly readTokens: number;
    /** Those of them that it is likely to have read for another request by then. */
    readonly hopedTokens: number;
    /** Predicted time to the first event, from now. */
    readonly latency: Milliseconds;
    /** Predicted latency, and what reading the prompt adds to that of the requests that wait there. */
    readonly cost: Milliseconds;
    /** Predicted part of the request's worth, from 0 to 1. */
    readonly worth: number;
}

/** Extra time that a running request costs each event of the others. */
const perRunningLatency: Milliseconds = 0.4;

/** Weighs an endpoint in another data centre as this much slower: bytes between data centres cost. */
const otherDataCentreLatency: Milliseconds = 4;

/** Part of the target that a prediction may use before the request's worth is taken to fall. */
const comfortableShare = 0.5;

/** Multiple of the target at which a request's worth is taken to be that of a late one. */
const lateShare = 1.3;

/** Worth of a late request. */
const lateWorth = 0.35;

/** Differences in worth below this are decided by the latency. */
const worthStep = 0.02;

/** Chooses the best endpoint, or `undefined` where none can take the request. */
export function chooseEndpoint(input: ChoiceInput): Choice | undefined {
    const usable = input.views.filter((view) =>
        !view.endpoint.leaving && !input.tried.has(view.endpoint.instance) && mayServe(view, input)
    );
    const calm = usable.filter((view) => isCalm(view, input.now));
    const choices = calm.map((view) => evaluate(view, input));
    const sound = choices.filter((choice) => !choice.view.health.isEjected(input.now));
    for (const tier of [sound.filter((choice) => endsBeforeLoad(choice, input)), sound, choices]) {
        const best = pickBest(tier);
        if (best !== undefined) {
            return best;
        }
    }
    return undefined;
}

function isCalm(view: EndpointState, now: Milliseconds): boolean {
    return !view.isLoading(now) && !view.isAvoided(now);
}

/** False where the request would hold up an endpoint that is about to load weights. */
function endsBeforeLoad(choice: Choice, input: ChoiceInput): boolean {
    const loadsAt = choice.view.loadsAt(input.now);
    if (loadsAt === undefined) {
        return true;
    }
    const stream = (input.prompt?.outputTokens ?? 0) * input.speed.perOutputToken;
    return input.now + choice.latency + stream <= loadsAt;
}

function mayServe(view: EndpointState, input: ChoiceInput): boolean {
    const named = input.prompt?.named;
    if (input.prompt === undefined || named === undefined) {
        return true;
    }
    const version = view.weightsVersion(input.prompt.model, input.now);
    if (version === undefined) {
        return false;
    }
    const replaced = supersededAt(named, version);
    return replaced === undefined || input.now - replaced < input.bounds.forbiddenAfter;
}

function pickBest(choices: readonly Choice[]): Choice | undefined {
    let best: Choice | undefined;
    for (const choice of choices) {
        if (best === undefined || isBetter(choice, best)) {
            best = choice;
        }
    }
    return best;
}

function isBetter(left: Choice, right: Choice): boolean {
    const difference = left.worth - right.worth;
    return Math.abs(difference) > worthStep ? difference > 0 : left.cost < right.cost;
}

function evaluate(view: EndpointState, input: ChoiceInput): Choice {
    const { now, prompt, speed } = input;
    const version = prompt === undefined ? undefined : view.weightsVersion(prompt.model, now);
    const ready = prompt?.ready(view, version) ?? { tokens: 0, hoped: 0, fetchTime: 0 };
    const readTokens = Math.max(0, (prompt?.promptTokens ?? 0) - ready.tokens);
    const running = view.totalRunning(now);
    const waitingTokens = view.totalWaitingTokens(now);
    const readTime = Math.max(0, readTokens - ready.hoped) / speed.tokensPerMillisecond;
    const place = view.endpoint.dataCentre === input.dataCentre ? 0 : otherDataCentreLatency;
    const latency = prompt === undefined
        ? speed.baseLatency * (1 + running / Math.max(1, view.endpoint.slots)) + place
        : speed.baseLatency + ready.fetchTime + running * perRunningLatency + place
            + waitingTokens / speed.tokensPerMillisecond + readTime;
    const worth = timelyWorth(input.elapsed + latency, input.targetLatency) * weightsWorth(version, input);
    const waitingRequests = prompt === undefined ? 0 : waitingTokens / Math.max(1, prompt.promptTokens);
    const cost = latency + waitingRequests * readTime;
    return { view, version, readTokens, hopedTokens: ready.hoped, latency, cost, worth };
}

function timelyWorth(latency: Milliseconds, target: Milliseconds): number {
    const share = latency / Math.max(1, target);
    if (share <= comfortableShare) {
        return 1;
    }
    const progress = Math.min(1, (share - comfortableShare) / (lateShare - comfortableShare));
    return 1 - progress * (1 - lateWorth);
}

function weightsWorth(version: number | undefined, input: ChoiceInput): number {
    const named = input.prompt?.named;
    if (named === undefined || version === undefined) {
        return 1;
    }
    const replaced = supersededAt(named, version);
    const isOld = replaced !== undefined && input.now - replaced >= input.bounds.worthLessAfter;
    return isOld ? 1 - input.bounds.lostShare : 1;
}
