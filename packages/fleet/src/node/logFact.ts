/**
 * Logs the facts that a process applies.
 *
 * @module
 */
import type { Logger } from "@redwingpin/common";
import { FactKind, type FleetFact } from "../decision/fleetState.js";

/** Logs a new fact; `from` is the store or the peer that sent it. */
export function logFact(logger: Logger, fact: FleetFact, from: string): void {
    const { revision } = fact;
    switch (fact.kind) {
        case FactKind.Configuration:
            logger.info("configuration in force", {
                version: fact.configuration.version,
                revision,
                routes: fact.configuration.routes.length,
                rates: fact.configuration.accounts
                    .map((account) => `${account.name}=${account.tokensPerSecond}/${account.burstTokens}`)
                    .join(","),
                from,
            });
            return;
        case FactKind.Weights:
            logger.info("desired weights changed", {
                model: fact.model,
                version: fact.version,
                revision,
                from,
            });
            return;
        case FactKind.Endpoint:
            logger.info("endpoint changed", {
                endpoint: fact.instance,
                service: fact.endpoint?.service,
                state: fact.endpoint === undefined ? "gone" : fact.endpoint.leaving ? "leaving" : "ready",
                weights: fact.endpoint?.weights.map((entry) => entry.version).join(","),
                revision,
                from,
            });
            return;
        case FactKind.VersionRollout:
            logger.info("version rollout changed", {
                service: fact.service,
                to: fact.to,
                phase: fact.phase,
                duration: fact.duration,
                age: fact.age === undefined ? undefined : Math.round(fact.age),
                decidedBy: fact.decidedBy,
                reason: fact.reason,
                stored: fact.isStored,
                revision,
                from,
            });
            return;
        case FactKind.Listing:
            // The removals that follow from it are logged.
            return;
    }
}
