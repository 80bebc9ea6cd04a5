/**
 * Selects the endpoint for a request by the predicted time to the first event, compared with the route's target, and by
 * whether the endpoint serves the desired weights.
 *
 * @module
 */
import type { Milliseconds } from "@redwingpin/common";
import { type DesiredWeights, supersededAt } from "@redwingpin/fleet";
import type { MemoryPrediction } from "@redwingpin/scheduling";
import type { EndpointModelSettings } from "./endpointModelSettings.js";
import type { EndpointState, ServiceSpeed } from "./endpointTable.js";

/** Bounds on the use of superseded weights, as times since a newer version became desired. */
export interface WeightsBounds {
    /** From this time on, the answer to a request that starts on superseded weights is worth less. */
    readonly reducedWorthAfter: Milliseconds;
    /** Share of the worth that is lost after `reducedWorthAfter`. */
    readonly worthReduction: number;
    /** From this time on, no request may start on superseded weights. */
    readonly forbiddenAfter: Milliseconds;
}

/** Input of {@link chooseEndpoint}. */
export interface ChoiceInput {
    readonly endpointStates: readonly EndpointState[];
    readonly now: Milliseconds;
    readonly dataCentre: string;
    readonly speed: ServiceSpeed;
    readonly targetLatency: Milliseconds;
    /** Time since the request arrived. */
    readonly elapsed: Milliseconds;
    /** Instances that this request has already been sent to. */
    readonly tried: ReadonlySet<string>;
    /** True if the request may run again elsewhere. */
    readonly isRepeatable: boolean;
    readonly model: EndpointModelSettings;
    /** Only present for requests to model engines. */
    readonly prompt?: PromptNeeds;
    readonly bounds: WeightsBounds;
    /**
     * False if nobody uses `fits` and `startsIn` of the choice; they need a prediction for each endpoint.
     * @default true
     */
    readonly needsRoom?: boolean;
    /** Requests of other routers that are expected to run at each endpoint now; as last reported if absent. */
    readonly otherLoads?: ReadonlyMap<EndpointState, number>;
}

/** Requirements of a request to a model engine. */
export interface PromptNeeds {
    readonly model: string;
    readonly desiredWeights: DesiredWeights | undefined;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Prompt tokens that the endpoint does not have to process, and the time to fetch them. */
    readonly reusable: (endpointState: EndpointState, version: number | undefined) => {
        readonly tokens: number;
        /** Further tokens that the endpoint will probably have processed for another request by then. */
        readonly likelyCached: number;
        /** Further tokens that the endpoint would process although another one processes them, too. */
        readonly repeated: number;
        readonly fetchTime: Milliseconds;
    };
}

/** The selected endpoint with its predictions. */
export interface Choice {
    readonly endpointState: EndpointState;
    /** Version of the weights that the endpoint is expected to serve. */
    readonly version: number | undefined;
    /** Prompt tokens that the endpoint neither has cached nor can fetch. */
    readonly tokensToProcess: number;
    /** Those of `tokensToProcess` that it will probably have processed for another request by then. */
    readonly likelyCachedTokens: number;
    /** Predicted tokens of memory that the request holds while it runs; 0 unless it goes to an engine. */
    readonly memoryTokens: number;
    /** Predicted time to fetch cached tokens. */
    readonly fetchTime: Milliseconds;
    /** Predicted time from now to the first event. */
    readonly latency: Milliseconds;
    /** What `latency` would be at an endpoint of the usual speed of its service. */
    readonly serviceLatency: Milliseconds;
    /** Predicted time from now until the endpoint starts on the request. */
    readonly startsIn: Milliseconds;
    /** False if the endpoint has no memory, or no free slot, for the request now. True if nothing is known about it. */
    readonly fits: boolean;
    /**
     * Predicted latency, plus the work of a preemption if the request does not fit, plus the delay that processing this prompt adds to the requests queued at the endpoint, and to
     * those that the engine could have served in the time in which it repeats the work of another one.
     */
    readonly cost: Milliseconds;
    /**
     * Predicted worth of the answer to the caller, from 0 to 1: it decreases with the latency and is lower on superseded
     * weights.
     */
    readonly worth: number;
}

/** Latency that each running request adds to the events of the others. */
const latencyPerRunningRequest: Milliseconds = 0.4;

/** Penalty for an endpoint in another data centre, since traffic between data centres is charged. */
const otherDataCentreLatency: Milliseconds = 4;

/** An answer has its full worth up to this share of the target latency. */
const fullWorthShare = 0.5;

/** Multiple of the target latency from which an answer counts as late. */
const lateShare = 1.3;

/** Worth of a late answer. */
const lateWorth = 0.35;

/** If the worths of two endpoints differ by less than this, the cost decides. */
const minWorthDifference = 0.02;

/** Weight of the time in which an engine processes tokens that another one processes, too. */
const repetitionWeight = 4;

const notReusable = { tokens: 0, likelyCached: 0, repeated: 0, fetchTime: 0 };

/** Selects the best endpoint; `undefined` if none can take the request. */
export function chooseEndpoint(input: ChoiceInput): Choice | undefined {
    const usable = input.endpointStates.filter((endpointState) =>
        !endpointState.isLeaving && !input.tried.has(endpointState.endpoint.instance)
        && servesAllowedWeights(endpointState, input)
    );
    const available = usable.filter((endpointState) => isAvailable(endpointState, input.now));
    const evaluated = available.map((endpointState) => evaluate(endpointState, input));
    const worthAPermit = evaluated.filter(isWorthAPermit);
    const choices = worthAPermit.length > 0 ? worthAPermit : evaluated;
    const healthy = choices.filter((choice) => !choice.endpointState.health.isEjected(input.now));
    const responsive = healthy.filter(({ endpointState }) =>
        !input.model.unresponsiveness || !endpointState.responses.isAvoided(input.now, input.isRepeatable)
    );
    const undisturbed = responsive.filter((choice) => endsBeforeLoad(choice, input));
    for (const tier of [undisturbed, responsive, healthy, choices]) {
        const best = pickBest(tier);
        if (best !== undefined) {
            return best;
        }
    }
    return undefined;
}

function isAvailable(endpointState: EndpointState, now: Milliseconds): boolean {
    return !endpointState.isDown(now) && !endpointState.isLoading(now) && !endpointState.isAvoided(now)
        && endpointState.signals.nextRequestAt(now) === undefined;
}

/** False if an endpoint limits its requests and others have more work for it. */
function isWorthAPermit({ endpointState, tokensToProcess }: Choice): boolean {
    return endpointState.signals.limit === undefined || endpointState.permitThreshold.allows(tokensToProcess);
}

/** False if the request would delay an endpoint that is about to load weights. */
function endsBeforeLoad(choice: Choice, input: ChoiceInput): boolean {
    const nextLoadAt = choice.endpointState.nextLoadAt(input.now);
    if (nextLoadAt === undefined) {
        return true;
    }
    const slowness = input.model.speed ? choice.endpointState.estimate.slowness : 1;
    const stream = (input.prompt?.outputTokens ?? 0) * input.speed.timePerOutputToken * slowness;
    return input.now + choice.latency + stream <= nextLoadAt;
}

function servesAllowedWeights(endpointState: EndpointState, input: ChoiceInput): boolean {
    const desiredWeights = input.prompt?.desiredWeights;
    if (input.prompt === undefined || desiredWeights === undefined) {
        return true;
    }
    const version = endpointState.weightsVersion(input.prompt.model, input.now);
    if (version === undefined) {
        return false;
    }
    const supersededSince = supersededAt(desiredWeights, version);
    return supersededSince === undefined || input.now - supersededSince < input.bounds.forbiddenAfter;
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
    return Math.abs(difference) > minWorthDifference ? difference > 0 : left.cost < right.cost;
}

/** Whether a request fits into an endpoint's memory or, for plain services, slots. */
function predictFit(
    endpointState: EndpointState,
    memoryTokens: number,
    running: number,
    { now, prompt, speed }: ChoiceInput,
): MemoryPrediction {
    if (prompt !== undefined) {
        return endpointState.predictMemory(memoryTokens, running - endpointState.running, now);
    }
    const slots = Math.max(1, endpointState.endpoint.slots);
    const missing = Math.max(0, running + 1 - slots);
    return { fits: missing === 0, freeIn: missing * speed.baseLatency / slots };
}

function evaluate(endpointState: EndpointState, input: ChoiceInput): Choice {
    const { now, prompt, speed } = input;
    const version = prompt === undefined ? undefined : endpointState.weightsVersion(prompt.model, now);
    const reusable = prompt?.reusable(endpointState, version) ?? notReusable;
    const tokensToProcess = Math.max(0, (prompt?.promptTokens ?? 0) - reusable.tokens);
    const otherLoad = input.otherLoads?.get(endpointState);
    const running = otherLoad === undefined
        ? endpointState.totalRunning(now)
        : endpointState.running + otherLoad;
    const waitingTokens = endpointState.totalWaitingTokens(now);
    const processingTime = Math.max(0, tokensToProcess - reusable.likelyCached) / speed.tokensPerMillisecond;
    const dataCentreLatency = endpointState.endpoint.dataCentre === input.dataCentre
        ? 0
        : otherDataCentreLatency;
    const memoryTokens = prompt === undefined ? 0 : prompt.promptTokens + prompt.outputTokens;
    const memory = input.needsRoom === false && !input.model.memory
        ? { fits: true, freeIn: 0 }
        : predictFit(endpointState, memoryTokens, running, input);
    const memoryWait = input.model.memory ? memory.freeIn : 0;
    const slowness = input.model.speed ? endpointState.estimate.slowness : 1;
    const queueTime = waitingTokens / speed.tokensPerMillisecond;
    const latencyAt = (factor: number) =>
        prompt === undefined
            ? factor * speed.baseLatency * (1 + running / Math.max(1, endpointState.endpoint.slots))
                + dataCentreLatency
            : factor * (speed.baseLatency + running * latencyPerRunningRequest + processingTime)
                + reusable.fetchTime + dataCentreLatency + Math.max(factor * queueTime, memoryWait);
    const startsIn = prompt === undefined ? memory.freeIn : Math.max(slowness * queueTime, memory.freeIn);
    const latency = latencyAt(slowness);
    const worth = worthOfLatency(input.elapsed + latency, input.targetLatency)
        * worthOfWeights(version, input);
    const waitingRequests = prompt === undefined ? 0 : waitingTokens / Math.max(1, prompt.promptTokens);
    // A request that does not fit preempts another one, whose prompt is processed again. Excluding such engines altogether
    // would send the requests of all routers to the few that fitted at their last report.
    const preemptionCost = memory.fits || !input.model.memory
        ? 0
        : slowness * (prompt?.promptTokens ?? 0) / speed.tokensPerMillisecond;
    const cost = latency + preemptionCost + slowness * waitingRequests * processingTime
        + repetitionWeight * reusable.repeated / speed.tokensPerMillisecond;
    return {
        endpointState,
        version,
        tokensToProcess,
        likelyCachedTokens: reusable.likelyCached,
        fetchTime: reusable.fetchTime,
        latency,
        serviceLatency: latencyAt(1),
        startsIn,
        fits: memory.fits,
        memoryTokens,
        cost,
        worth,
    };
}

function worthOfLatency(latency: Milliseconds, target: Milliseconds): number {
    const share = latency / Math.max(1, target);
    if (share <= fullWorthShare) {
        return 1;
    }
    const progress = Math.min(1, (share - fullWorthShare) / (lateShare - fullWorthShare));
    return 1 - progress * (1 - lateWorth);
}

function worthOfWeights(version: number | undefined, input: ChoiceInput): number {
    const desiredWeights = input.prompt?.desiredWeights;
    if (desiredWeights === undefined || version === undefined) {
        return 1;
    }
    const supersededSince = supersededAt(desiredWeights, version);
    const isOld = supersededSince !== undefined
        && input.now - supersededSince >= input.bounds.reducedWorthAfter;
    return isOld ? 1 - input.bounds.worthReduction : 1;
}
