/**
 * Checks a configuration of direct routes before it is submitted: entries that can never match, and limits that contradict
 * each other. An error is an entry without effect or limits that cannot both hold; a warning may be intended. Findings contain
 * no keys and no digests of keys.
 *
 * @module
 */
import type { Finding } from "@redwingpin/common";
import {
    type DirectAccount,
    type DirectConfiguration,
    type DirectRoute,
    type DirectService,
    DirectServiceKind,
} from "../directConfiguration.js";

export enum Severity {
    Error = "error",
    Warning = "warning",
}

/** A finding in a configuration; its place is a path of fields of `DirectConfiguration`. */
export interface ConfigurationFinding extends Finding {
    readonly severity: Severity;
}

/** Returns the findings in a configuration: those of routes, services, accounts and limits, in this order. */
export function checkConfiguration(configuration: DirectConfiguration): ConfigurationFinding[] {
    const { routes, services, accounts } = configuration;
    const findings = new FindingList();
    checkNames(findings, "routes", routes);
    checkNames(findings, "services", services);
    checkNames(findings, "accounts", accounts);
    checkRoutes(findings, configuration);
    services.forEach((service, index) => checkService(findings, service, `services[${index}]`));
    checkUnusedServices(findings, configuration);
    accounts.forEach((account, index) => checkAccount(findings, account, `accounts[${index}]`));
    checkSharedKeys(findings, accounts);
    checkLimits(findings, configuration);
    return findings.list;
}

/** Returns a finding if processes that have `active` would ignore the candidate because of its version. */
export function checkVersion(
    candidate: DirectConfiguration,
    active: DirectConfiguration,
    isChanged: boolean,
): ConfigurationFinding[] {
    const findings = new FindingList();
    if (candidate.version < active.version || (isChanged && candidate.version === active.version)) {
        findings.error(
            "version",
            `version ${candidate.version} does not exceed the active version ${active.version}`,
            `set it to ${active.version + 1} or more`,
        );
    }
    return findings.list;
}

class FindingList {
    readonly list: ConfigurationFinding[] = [];

    error(place: string, message: string, advice: string): void {
        this.list.push({ severity: Severity.Error, place, message, advice });
    }

    warning(place: string, message: string, advice: string): void {
        this.list.push({ severity: Severity.Warning, place, message, advice });
    }
}

/** Names are quoted as JSON, so that control characters in them do not reach a terminal. */
function quote(name: string): string {
    return JSON.stringify(name);
}

function checkNames(
    findings: FindingList,
    list: string,
    entries: readonly { readonly name: string; }[],
): void {
    const firstIndexes = new Map<string, number>();
    entries.forEach(({ name }, index) => {
        const first = firstIndexes.get(name);
        if (first === undefined) {
            firstIndexes.set(name, index);
            return;
        }
        findings.error(
            `${list}[${index}].name`,
            `${quote(name)} is also the name of ${list}[${first}]`,
            "give each entry its own name, or remove one",
        );
    });
}

function checkRoutes(findings: FindingList, configuration: DirectConfiguration): void {
    const services = new Map(configuration.services.map((service) => [service.name, service]));
    const firstByMatch = new Map<string, DirectRoute>();
    configuration.routes.forEach((route, index) => {
        const place = `routes[${index}]`;
        checkMatch(findings, route, place);
        const match = JSON.stringify([route.host.toLowerCase(), route.prefix]);
        const first = firstByMatch.get(match);
        if (first === undefined) {
            firstByMatch.set(match, route);
        }
        else {
            findings.error(
                place,
                `route ${quote(route.name)} never matches: route ${
                    quote(first.name)
                } has the same host and prefix`,
                "remove one of the two, or change its host or prefix",
            );
        }
        checkTargets(findings, route, place, services);
        checkRouteLimits(findings, route, place);
        if (!route.open && configuration.accounts.length === 0) {
            findings.warning(
                `${place}.open`,
                `route ${quote(route.name)} requires a key, but without accounts any caller is accepted`,
                "define an account, or mark the route as public",
            );
        }
    });
}

/** Checks host and prefix against the normalized host and the path of a request (`RouteTable.findRoute`). */
function checkMatch(findings: FindingList, route: DirectRoute, place: string): void {
    const name = quote(route.name);
    if (/:\d+$/.test(route.host)) {
        findings.error(
            `${place}.host`,
            `route ${name} never matches: host ${quote(route.host)} has a port`,
            "remove the port; it is ignored in requests",
        );
    }
    if (!route.prefix.startsWith("/") || /[?#\s]/.test(route.prefix)) {
        findings.error(
            `${place}.prefix`,
            `route ${name} never matches: prefix ${quote(route.prefix)} is not the beginning of a path`,
            "begin it with a slash and use no query, fragment or spaces",
        );
    }
    else if (!route.prefix.endsWith("/")) {
        findings.warning(
            `${place}.prefix`,
            `prefix ${quote(route.prefix)} of route ${name} also matches longer names, such as `
                + quote(`${route.prefix}x`),
            "end it with a slash",
        );
    }
}

function checkTargets(
    findings: FindingList,
    route: DirectRoute,
    place: string,
    services: ReadonlyMap<string, DirectService>,
): void {
    const name = quote(route.name);
    route.targets.forEach((target, index) => {
        const targetPlace = `${place}.targets[${index}]`;
        const service = services.get(target.service);
        if (service === undefined) {
            findings.error(
                targetPlace,
                `service ${quote(target.service)} of route ${name} is not defined`,
                "define the service, or correct its name",
            );
        }
        else if (service.kind === DirectServiceKind.CacheStore) {
            findings.error(
                targetPlace,
                `service ${
                    quote(target.service)
                } of route ${name} is a cache store, which serves no requests`,
                "name an engine or a plain service",
            );
        }
        if (target.weight < 0) {
            findings.error(
                targetPlace,
                `weight ${target.weight} of route ${name} is negative`,
                "use 0 or more",
            );
        }
        else if (target.weight === 0) {
            findings.warning(
                targetPlace,
                `service ${quote(target.service)} gets no requests of route ${name}: its weight is 0`,
                "remove it, or set a weight above 0",
            );
        }
    });
    if (route.targets.every(({ weight }) => weight <= 0)) {
        findings.error(
            `${place}.targets`,
            `no service of route ${name} has a weight`,
            "set a weight above 0",
        );
    }
}

function checkRouteLimits(findings: FindingList, route: DirectRoute, place: string): void {
    const name = quote(route.name);
    const { timeout, targetLatency, attempts } = route;
    if (timeout <= 0) {
        findings.error(
            `${place}.timeout`,
            `the timeout of route ${name} is ${timeout} ms, so every request is late on arrival`,
            "set it above the target latency",
        );
    }
    else if (targetLatency > timeout) {
        findings.error(
            `${place}.targetLatency`,
            `the target latency of route ${name} (${targetLatency} ms) is above its timeout (${timeout} ms)`,
            "lower the target latency, or raise the timeout",
        );
    }
    if (targetLatency <= 0) {
        findings.error(
            `${place}.targetLatency`,
            `the target latency of route ${name} is ${targetLatency} ms, which no response can meet`,
            "set it above 0 and at most to the timeout",
        );
    }
    if (attempts < 1) {
        findings.error(
            `${place}.attempts`,
            `route ${name} allows ${attempts} attempts, so its requests are never sent`,
            "allow 1 or more",
        );
    }
}

function checkService(findings: FindingList, service: DirectService, place: string): void {
    const name = quote(service.name);
    const { maxConnections, engine } = service;
    if (service.kind === DirectServiceKind.CacheStore) {
        return;
    }
    if (maxConnections < 1) {
        findings.error(
            `${place}.maxConnections`,
            `service ${name} allows ${maxConnections} connections, so it gets no requests`,
            "allow 1 or more",
        );
    }
    if (engine !== undefined && engine.slots < 1) {
        findings.error(`${place}.engine.slots`, `engine ${name} has ${engine.slots} slots`, "set 1 or more");
    }
    else if (engine !== undefined && maxConnections >= 1 && maxConnections < engine.slots) {
        findings.warning(
            `${place}.maxConnections`,
            `engine ${name} allows ${maxConnections} connections, fewer than its ${engine.slots} slots`,
            "allow at least one connection for each slot",
        );
    }
}

function checkUnusedServices(findings: FindingList, { routes, services }: DirectConfiguration): void {
    const used = new Set(routes.flatMap(({ targets }) => targets.map(({ service }) => service)));
    services.forEach(({ name, kind }, index) => {
        if (kind !== DirectServiceKind.CacheStore && !used.has(name)) {
            findings.warning(
                `services[${index}]`,
                `service ${quote(name)} gets no requests: no route leads to it`,
                "add a route, or remove the service",
            );
        }
    });
}

function checkAccount(findings: FindingList, account: DirectAccount, place: string): void {
    const name = quote(account.name);
    const { tokensPerSecond: rate, burstTokens: burst } = account;
    const unit = account.countsRequests ? "requests" : "tokens";
    const charge = account.countsRequests ? 1 : account.tokensPerPlainRequest;
    if (account.keyDigests.length === 0) {
        findings.warning(
            place,
            `account ${name} never matches: it has no key`,
            "add a key, or remove the account",
        );
    }
    if (rate < 0) {
        findings.error(
            `${place}.tokensPerSecond`,
            `the rate of account ${name} is negative, which has the effect of no limit`,
            "set the rate, or 0 for no limit",
        );
    }
    if (rate <= 0) {
        if (burst > 0) {
            findings.warning(
                `${place}.burstTokens`,
                `the burst of account ${name} has no effect: the account has no rate`,
                "set a rate, or remove the burst",
            );
        }
        return;
    }
    if (burst < charge) {
        findings.error(
            `${place}.burstTokens`,
            `the burst of account ${name} (${burst} ${unit}) is below one request (${charge})`,
            `set the burst to ${charge} or more`,
        );
    }
    if (rate < charge) {
        findings.warning(
            `${place}.tokensPerSecond`,
            `the rate of account ${name} (${rate} ${unit}/s) is below one request (${charge}) per second`,
            "raise the rate unless the account is to send less than that",
        );
    }
}

/** A key belongs to the last account that lists it (`RouteTable`). */
function checkSharedKeys(findings: FindingList, accounts: readonly DirectAccount[]): void {
    const lastByDigest = new Map(
        accounts.flatMap(({ keyDigests }, index) => keyDigests.map((digest) => [digest, index] as const)),
    );
    accounts.forEach(({ name, keyDigests }, index) => {
        keyDigests.forEach((digest, keyIndex) => {
            const last = lastByDigest.get(digest) ?? index;
            if (last !== index) {
                findings.error(
                    `accounts[${index}].keyDigests[${keyIndex}]`,
                    `this key of account ${quote(name)} never matches: account ${
                        quote(accounts[last].name)
                    } has it too`,
                    "issue different keys for the two accounts",
                );
            }
        });
    });
}

function checkLimits(findings: FindingList, { limits, routes, services }: DirectConfiguration): void {
    for (const [field, limit] of Object.entries(limits)) {
        if (!(limit > 0)) {
            findings.error(`limits.${field}`, `the limit is ${limit}`, "set it above 0");
        }
    }
    if (!(limits.bodyBytes > 0)) {
        return;
    }
    const engines = new Map(services.map(({ name, engine }) => [name, engine]));
    for (const route of routes) {
        // A prompt token is at least one byte of the body. An engine with all slots in use has this many tokens for each.
        const needed = Math.max(
            0,
            ...route.targets.map(({ service }) => {
                const engine = engines.get(service);
                return engine === undefined || engine.slots < 1
                    ? 0
                    : Math.floor(engine.cacheTokens / engine.slots);
            }),
        );
        if (limits.bodyBytes < needed) {
            findings.warning(
                "limits.bodyBytes",
                `the body limit (${limits.bodyBytes} bytes) is below a prompt of ${needed} tokens, the share of one `
                    + `slot at the engines of route ${quote(route.name)}`,
                `set it to ${needed} or more; prompts usually need several bytes per token`,
            );
        }
    }
}
