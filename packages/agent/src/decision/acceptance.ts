/**
 * Decides whether the agent accepts a request. This is the last check that a request doesn't run twice
 * and doesn't run with other weights than it requires.
 *
 * @module
 */
import { DeclineReason, type EndpointStatus, type Open, type WeightsReference } from "@redwingpin/protocol";

/** State that the decision depends on. */
export interface AcceptanceState {
    readonly status: EndpointStatus;
    /** True if this request isn't idempotent and was received before. */
    readonly isDuplicate: boolean;
    readonly maxBodyBytes: number;
}

/** Reason for which the request is declined; `undefined` if it is accepted. */
export function declineReason(open: Open, state: AcceptanceState): DeclineReason | undefined {
    if (open.bodyBytes > state.maxBodyBytes) {
        return DeclineReason.Malformed;
    }
    if (state.status.draining) {
        return DeclineReason.Draining;
    }
    if (state.isDuplicate) {
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

function servesWeights(served: readonly WeightsReference[], required: WeightsReference): boolean {
    return served.some((weights) =>
        weights.model === required.model && weights.version === required.version
        && weights.adapter === required.adapter
    );
}
