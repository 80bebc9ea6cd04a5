/**
 * What a request to a model engine is about: its model, the weights that should run, and where its prefixes may lie.
 *
 * @module
 */
import { type DesiredWeights, DirectServiceKind, type FleetState } from "@redwingpin/fleet";
import type { DirectRequest } from "./callerRequest.js";

/** What a request to a model engine is about. */
export interface PromptContext {
    readonly model: string;
    readonly desiredWeights: DesiredWeights | undefined;
    /** Text under which prefixes read by weights of a version may be found. */
    readonly scope: (version: number | undefined) => string;
}

/** Reads the facts of a request; `undefined` for requests to plain services. */
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
