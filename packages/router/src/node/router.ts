/**
 * The router: owns the callers' server, the inner node and every subsystem, and wires them together.
 *
 * @module
 */
import {
    type Clock,
    createReasonCounters,
    listenOn,
    type Logger,
    type ReasonCounters,
    sleep,
} from "@redwingpin/common";
import type { KeyValueStore, VirtualMachine, VirtualMachineList } from "@redwingpin/platform";
import { type Connection, type ExchangeMessage, InnerNode, MessageKind, ProcessRole } from "@redwingpin/protocol";
import { randomUUID } from "node:crypto";
import type { Server } from "node:http";
import type { Registry } from "prom-client";
import type { ResolvedRouterConfig } from "../config.js";
import { drainGraceMilliseconds } from "../constants.js";
import { ExchangeTable } from "./agentExchange.js";
import type { CallerRequest } from "./callerRequest.js";
import { createCallerServer } from "./callerServer.js";
import { EndpointDirectory } from "./endpointDirectory.js";
import { RequestPipeline } from "./requestPipeline.js";
import { SilenceProbe } from "./silenceProbe.js";

/** What a router is made from. */
export interface RouterOptions {
    readonly config: ResolvedRouterConfig;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: Registry;
    readonly store: KeyValueStore;
    readonly virtualMachineList: VirtualMachineList;
}

/** Ports on which a router listens. */
export interface RouterPorts {
    readonly listenPort: number;
    readonly innerPort: number;
}
