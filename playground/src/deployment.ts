/**
 * Deployments: a manifest with its data centres and default sizes.
 *
 * @module
 */
import { formatFindings, sha256Hex } from "@redwingpin/common";
import {
    EndpointKind,
    type EndpointPool,
    type Manifest,
    type Model,
    parseManifest,
    RouteKind,
    type ServiceRoute,
} from "@redwingpin/manifest";
import { randomBytes } from "node:crypto";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import type { PlaygroundKey } from "./state.js";

/** Names of the deployments. */
export enum DeploymentName {
    Sample = "sample",
    Office = "office",
    Kartela = "kartela",
}

/** How many processes of each kind to start. */
export interface DeploymentSize {
    readonly routers: number;
    readonly engines: number;
    readonly services: number;
}

/** A deployment whose keys have been made up. */
export interface Deployment {
    readonly dataCentres: readonly string[];
    readonly manifest: Manifest;
    readonly keys: readonly PlaygroundKey[];
    readonly enginePool: EndpointPool;
    readonly servicePool: EndpointPool;
    /** Weights that each engine starts with. */
    readonly weights: readonly string[];
    /** Routes to models. */
    readonly models: readonly string[];
    readonly nonIdempotent: string;
    readonly idempotentService: string;
}

interface DeploymentDefaults extends DeploymentSize {
    readonly dataCentres: readonly string[];
}

const defaults: Readonly<Record<DeploymentName, DeploymentDefaults>> = {
    [DeploymentName.Sample]: { routers: 2, engines: 3, services: 2, dataCentres: ["north", "south"] },
    [DeploymentName.Office]: {
        routers: 3,
        engines: 8,
        services: 3,
        dataCentres: ["hobart", "launceston", "burnie"],
    },
    [DeploymentName.Kartela]: {
        routers: 3,
        engines: 8,
        services: 3,
        dataCentres: ["attica-a", "attica-b", "attica-c"],
    },
};

const keyBytes = 24;

/** Size of a deployment where nothing else is asked for. */
export function defaultSize(name: DeploymentName): DeploymentSize {
    return defaults[name];
}

/** Reads a deployment's manifest, makes up its keys and fits its replicas to the number of engines. */
export function createDeployment(name: DeploymentName, size: DeploymentSize): Deployment {
    const { manifest, keys } = issueKeys(fitReplicas(readManifest(name), size.engines));
    const enginePool = manifest.pools.find((pool) => pool.kind === EndpointKind.Engine)!;
    const services = manifest.routes.filter((route): route is ServiceRoute =>
        route.kind === RouteKind.Service
    );
    return {
        dataCentres: defaults[name].dataCentres,
        manifest,
        keys,
        enginePool,
        servicePool: manifest.pools.find((pool) => pool.kind === EndpointKind.Service)!,
        weights: weightsOf(manifest.models.find((model) => model.name === enginePool.model)!),
        models: manifest.routes.filter((route) => route.kind === RouteKind.Model).map((route) => route.name),
        nonIdempotent: servicePath(services, false),
        idempotentService: servicePath(services, true),
    };
}

function readManifest(name: DeploymentName): Manifest {
    const file = fileURLToPath(new URL(`../manifests/${name}.yaml`, import.meta.url));
    const manifest = parseManifest(readFileSync(file, "utf8"), file);
    if (manifest.isErr()) {
        throw new Error(formatFindings(manifest.error));
    }
    return manifest.value;
}

function issueKeys(manifest: Manifest): { manifest: Manifest; keys: PlaygroundKey[]; } {
    const keys: PlaygroundKey[] = [];
    const issue = (account: string) => {
        const key = `playground-${randomBytes(keyBytes).toString("base64url")}`;
        keys.push({ account, key });
        return `sha256:${sha256Hex(key)}`;
    };
    const accounts = manifest.accounts.map((account) => ({
        ...account,
        keys: account.keys.map((key) => ({ ...key, digest: issue(account.name) })),
    }));
    return { manifest: { ...manifest, accounts }, keys };
}

/** Gives each version after the first its replicas while engines are left, and the first version all others. */
function fitReplicas(manifest: Manifest, engines: number): Manifest {
    return { ...manifest, models: manifest.models.map((model) => fitModel(model, engines)) };
}

function fitModel(model: Model, engines: number): Model {
    const [first, ...others] = model.versions;
    let left = engines;
    const fitted = others.map((version) => {
        const replicas = Math.min(version.replicas, Math.max(0, left - 1));
        left -= replicas;
        return { ...version, replicas };
    });
    return { ...model, versions: [{ ...first!, replicas: left }, ...fitted] };
}

function weightsOf(model: Model): string[] {
    return model.versions.flatMap((version) => Array<string>(version.replicas).fill(version.weights));
}

function servicePath(services: readonly ServiceRoute[], idempotent: boolean): string {
    const route = services.find((service) => service.idempotent === idempotent)!;
    return `/services/${route.name}/${idempotent ? "lookup" : "record"}`;
}
