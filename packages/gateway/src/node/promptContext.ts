/**
 * Model, desired weights and cache scopes of a request to a model engine.
 *
 * @module
 */
import { type DesiredWeights, DirectServiceKind, type FleetState } from "@redwingpin/fleet";
import type { DirectRequest } from "./callerRequest.js";

/** Context of a request to a model engine. */
export interface PromptContext {
    readonly model: string;
    readonly desiredWeights: DesiredWeights | undefined;
    /** Cache scope of a version of the weights: a prefix is found only in the scope in which it was processed. */
    readonly scope: (version: number | undefined) => string;
}

/** Context of a request; `undefined` for requests to plain services. */
export function readPromptContext(request: DirectRequest, state: FleetState): PromptContext | undefined {
    const { model } = request.metadata;
    if (model === undefined || request.service.kind !== DirectServiceKind.Engine) {
        return undefined;
    }
    const owner = request.account?.isolated === true ? `account=${request.account.name}` : "shared";
    return {
        model,
        desiredWeights: state.desiredWeightsOf(model),
        scope: (version) => `${owner};${model};${version ?? 0}`,
    };
}
