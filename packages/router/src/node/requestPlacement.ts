/**
 * Places requests on agents: translates requests for the placement decision and reports the results of attempts to it.
 *
 * @module
 */
import { rendezvousOrder } from "@redwingpin/common";
import { type VirtualMachine, VirtualMachineRole } from "@redwingpin/outside";
import {
    type PlacedRequest,
    Placement,
    PlacementOutcome,
    type PlacementRequest,
} from "@redwingpin/placement";
import type { EndpointStatus, Head } from "@redwingpin/protocol";
import type { AttemptOutcome } from "../decision/attemptLoop.js";
import { weightsOf } from "./attemptRunner.js";
import type { CallerRequest } from "./callerRequest.js";

/** An agent chosen for one attempt. */
export interface ChosenAgent {
    readonly machine: VirtualMachine;
    readonly placed: PlacedRequest;
}

/** Places the requests of one router. */
export class RequestPlacement {
    private readonly agents = new Map<string, VirtualMachine>();

    constructor(private readonly placement: Placement) {}

    /** Replaces the known VMs. */
    replaceMachines(machines: readonly VirtualMachine[]): void {
        this.agents.clear();
        for (const machine of machines) {
            if (machine.role === VirtualMachineRole.Agent) {
                this.agents.set(machine.instance, machine);
            }
        }
        this.placement.replaceCandidates(
            [...this.agents.values()].map((machine) => ({
                instance: machine.instance,
                pool: machine.pool ?? "",
                dataCentre: machine.dataCentre,
                leaving: machine.leaving,
            })),
        );
    }

    observeStatus(status: EndpointStatus): void {
        this.placement.observeStatus(status);
    }

    /** Chooses an agent that is not excluded; `undefined` if none can serve the request. */
    choose(request: CallerRequest, excluded: readonly string[]): ChosenAgent | undefined {
        const placed = this.placement.choose(placementRequest(request), excluded);
        const machine = placed && this.agents.get(placed.instance);
        return placed && machine && { placed, machine };
    }

    /** Chooses the agent for a request that runs in isolation: the same one at every router, unless it can't serve it. */
    chooseIsolated(request: CallerRequest, excluded: readonly string[]): ChosenAgent | undefined {
        const inPool = [...this.agents.values()].filter((agent) => agent.pool === request.route.pool);
        for (const agent of rendezvousOrder(request.fingerprint, inPool, (candidate) => candidate.instance)) {
            const others = inPool.filter((other) => other !== agent).map((other) => other.instance);
            const chosen = excluded.includes(agent.instance) ? undefined : this.choose(request, others);
            if (chosen !== undefined) {
                return chosen;
            }
        }
        return undefined;
    }

    observeHead(chosen: ChosenAgent, head: Head): void {
        this.placement.observeHead(chosen.placed, head.hitBlocks);
    }

    observeOutcome(chosen: ChosenAgent, outcome: AttemptOutcome): void {
        this.placement.observeOutcome(chosen.placed, placementOutcome(outcome));
    }
}

function placementRequest(request: CallerRequest): PlacementRequest {
    return {
        pool: request.route.pool,
        weights: weightsOf(request),
        prefixBlocks: request.prefix.blocks,
        sharedBlocks: request.prefix.sharedBlocks,
        promptTokens: request.prefix.promptTokens,
    };
}

function placementOutcome(outcome: AttemptOutcome): PlacementOutcome {
    switch (outcome.kind) {
        case "delivered":
            return PlacementOutcome.Completed;
        case "callerDisconnected":
            return PlacementOutcome.Cancelled;
        case "notRun":
        case "final":
            return PlacementOutcome.Declined;
        case "broken":
            return PlacementOutcome.Failed;
    }
}
