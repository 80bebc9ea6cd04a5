/**
 * The deployments that a playground can run. Each has a manifest, data centres and a default number of processes.
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

export enum DeploymentName {
    Sample = "sample",
    Office = "office",
    Kartela = "kartela",
}

/** Number of processes of each kind. */
export interface DeploymentSize {
    readonly routers: number;
    readonly engines: number;
    readonly services: number;
}

/** A deployment with generated keys. */
export interface Deployment {
    readonly dataCentres: readonly string[];
    readonly manifest: Manifest;
    readonly keys: readonly PlaygroundKey[];
    readonly enginePool: EndpointPool;
    readonly servicePool: EndpointPool;
    /** Names of the weights that the engines start with, one for each engine. */
    readonly weights: readonly string[];
    /** Names of the routes to models. */
    readonly models: readonly string[];
    /** Path of a service that is not idempotent. */
    readonly nonIdempotent: string;
    /** Path of an idempotent service. */
    readonly idempotentService: string;
}

interface DeploymentDefaults extends DeploymentSize {
    readonly dataCentres: readonly string[];
}

const defaultsByName: Readonly<Record<DeploymentName, DeploymentDefaults>> = {
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

export function defaultSize(name: DeploymentName): DeploymentSize {
    return defaultsByName[name];
}

/** Reads a deployment's manifest, generates its keys and adjusts its replicas to the number of engines. */
export function createDeployment(name: DeploymentName, size: DeploymentSize): Deployment {
    const { manifest, keys } = issueKeys(distributeReplicas(readManifest(name), size.engines));
    const enginePool = manifest.pools.find((pool) => pool.kind === EndpointKind.Engine)!;
    const services = manifest.routes.filter((route): route is ServiceRoute =>
        route.kind === RouteKind.Service
    );
    return {
        dataCentres: defaultsByName[name].dataCentres,
        manifest,
        keys,
        enginePool,
        servicePool: manifest.pools.find((pool) => pool.kind === EndpointKind.Service)!,
        weights: engineWeightsOf(manifest.models.find((model) => model.name === enginePool.model)!),
        models: manifest.routes.filter((route) => route.kind === RouteKind.Model).map((route) => route.name),
        nonIdempotent: servicePathOf(services, false),
        idempotentService: servicePathOf(services, true),
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
    const issueDigest = (account: string) => {
        const key = `playground-${randomBytes(keyBytes).toString("base64url")}`;
        keys.push({ account, key });
        return `sha256:${sha256Hex(key)}`;
    };
    const accounts = manifest.accounts.map((account) => ({
        ...account,
        keys: account.keys.map((key) => ({ ...key, digest: issueDigest(account.name) })),
    }));
    return { manifest: { ...manifest, accounts }, keys };
}

/**
 * Adjusts the replicas of each model's versions to the number of engines. The versions after the first keep their
 * replicas while engines are left; the first version gets all remaining engines, at least one.
 */
function distributeReplicas(manifest: Manifest, engines: number): Manifest {
    return { ...manifest, models: manifest.models.map((model) => distributeModelReplicas(model, engines)) };
}

function distributeModelReplicas(model: Model, engines: number): Model {
    const [first, ...others] = model.versions;
    let remaining = engines;
    const otherVersions = others.map((version) => {
        const replicas = Math.min(version.replicas, Math.max(0, remaining - 1));
        remaining -= replicas;
        return { ...version, replicas };
    });
    return { ...model, versions: [{ ...first!, replicas: remaining }, ...otherVersions] };
}

function engineWeightsOf(model: Model): string[] {
    return model.versions.flatMap((version) => Array<string>(version.replicas).fill(version.weights));
}

function servicePathOf(services: readonly ServiceRoute[], idempotent: boolean): string {
    const route = services.find((service) => service.idempotent === idempotent)!;
    return `/services/${route.name}/${idempotent ? "lookup" : "record"}`;
}
