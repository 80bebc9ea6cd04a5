/**
 * Decides whether the agent accepts a request: the last check of the rules that must not be wrong.
 *
 * @module
 */
import { DeclineReason, type EndpointStatus, type Open, type WeightsReference } from "@redwingpin/protocol";

/** What the decision looks at. */
export interface AcceptanceState {
    readonly status: EndpointStatus;
    /** True where this request, which may not run twice, was accepted here before. */
    readonly seenBefore: boolean;
    readonly maxBodyBytes: number;
}

/** Why the request is declined, or `undefined` where it is accepted. */
export function declineReason(open: Open, state: AcceptanceState): DeclineReason | undefined {
    if (open.bodyBytes > state.maxBodyBytes) {
        return DeclineReason.Malformed;
    }
    if (state.status.draining) {
        return DeclineReason.Draining;
    }
    if (state.seenBefore) {
        return DeclineReason.Duplicate;
    }
    if (state.status.incarnation === undefined) {
        return DeclineReason.EndpointDown;
    }
    if (open.weights !== undefined && !servesWeights(state.status.weights, open.weights)) {
        return DeclineReason.WrongWeights;
    }
    return undefined;
}

function servesWeights(served: readonly WeightsReference[], wanted: WeightsReference): boolean {
    return served.some((weights) =>
        weights.model === wanted.model && weights.version === wanted.version
        && weights.adapter === wanted.adapter
    );
}
