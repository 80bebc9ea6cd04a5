/**
 * Checks a caller's request, in this order: configuration, route, key, header fields, body, and the account's limits.
 *
 * @module
 */
import { type BlockBody, digestOf, type Milliseconds, RefusalReason } from "@redwingpin/common";
import type { DirectAccount, DirectRoute } from "@redwingpin/fleet";
import { err, ok, type Result } from "neverthrow";
import type { IncomingMessage } from "node:http";
import { chooseTarget, type RouteTable } from "../decision/routeTable.js";
import type { CallerMetadata, HeaderCodec } from "../headerCodec.js";
import type { AccountTokens } from "./accountTokens.js";
import { findInvalidField } from "./answerWriter.js";
import type { DirectRequest } from "./callerRequest.js";

/** A failed check; the request has not run. */
export interface CheckFailure {
    readonly status: number;
    readonly reason: RefusalReason;
    readonly message: string;
    readonly retryAfter?: Milliseconds;
    readonly attempt?: string;
    /** Level of the account's bucket, if the bucket was the reason. */
    readonly level?: number;
    /** True if the level suffices, but this router has spent too much that is still unreported to other routers. */
    readonly needsReport?: boolean;
    readonly account?: string;
    readonly tokens?: number;
    /** True if the body made no progress and its memory was needed: the rest of it is not read. */
    readonly hasYielded?: boolean;
}

/** Retry delay for callers of a router that has no configuration yet. */
const notConfiguredRetryAfter: Milliseconds = 300;

/** Time reserved for the transfer of the answer from the router to the caller. */
const answerMargin: Milliseconds = 5;

/** Dependencies of the checks. */
export interface CheckContext {
    readonly headerCodec: HeaderCodec;
    readonly accountTokens: Pick<AccountTokens, "charge">;
    readonly table: () => RouteTable | undefined;
    readonly random: () => number;
}

/** A request whose head has passed the checks. */
export interface CheckedHead {
    readonly table: RouteTable;
    readonly route: DirectRoute;
    readonly account: DirectAccount | undefined;
    readonly metadata: CallerMetadata;
}

/** Runs the checks that need only the head of a request. */
export function checkHead(
    context: CheckContext,
    request: IncomingMessage,
): Result<CheckedHead, CheckFailure> {
    const table = context.table();
    if (table === undefined) {
        return err({
            status: 503,
            reason: RefusalReason.NotConfigured,
            message: "the router has no configuration yet",
            retryAfter: notConfiguredRetryAfter,
        });
    }
    const { limits } = table.configuration;
    if (headerBytes(request) > limits.headerBytes) {
        const message = `the header has more than ${limits.headerBytes} bytes`;
        return err({ status: 431, reason: RefusalReason.MalformedRequest, message });
    }
    const invalidField = findInvalidField(request.rawHeaders);
    if (invalidField !== undefined) {
        const message = `the request has a field that HTTP does not allow: ${invalidField}`;
        return err({ status: 400, reason: RefusalReason.MalformedRequest, message });
    }
    const route = table.findRoute(request.headers.host, request.url ?? "/");
    if (route === undefined) {
        const message = `no route matches host "${request.headers.host ?? ""}" and the request's path`;
        return err({ status: 404, reason: RefusalReason.RouteNotFound, message });
    }
    const metadata = context.headerCodec.readRequest(request.headers);
    if (metadata.isErr()) {
        return err({ status: 400, reason: RefusalReason.MalformedRequest, message: metadata.error });
    }
    return findAccount(table, route, metadata.value).map((account) => ({
        table,
        route,
        account,
        metadata: metadata.value,
    }));
}

function findAccount(
    table: RouteTable,
    route: DirectRoute,
    metadata: CallerMetadata,
): Result<DirectAccount | undefined, CheckFailure> {
    if (route.open || !table.hasAccounts) {
        return ok(undefined);
    }
    const { attempt, credential } = metadata;
    if (credential === undefined) {
        const message = `route "${route.name}" needs a key`;
        return err({ status: 401, reason: RefusalReason.MissingKey, message, attempt });
    }
    const account = table.findAccount(credential);
    return account === undefined
        ? err({
            status: 401,
            reason: RefusalReason.UnknownKey,
            message: "the key is unknown or was withdrawn",
            attempt,
        })
        : ok(account);
}

/** Time by which the caller of a request must have an answer. */
export function requestDeadline({ metadata, route }: CheckedHead, arrival: Milliseconds): Milliseconds {
    return arrival + Math.min(metadata.maxWait ?? Infinity, route.timeout) - answerMargin;
}

/** Runs the remaining checks once the body has arrived, and charges the account, which may wait for other routers. */
export async function checkComplete(
    context: CheckContext,
    head: CheckedHead,
    request: IncomingMessage,
    body: BlockBody,
    arrival: Milliseconds,
): Promise<Result<DirectRequest, CheckFailure>> {
    const { account, metadata, route, table } = head;
    const target = chooseTarget(route.targets, context.random());
    const service = target === undefined ? undefined : table.service(target);
    if (service === undefined) {
        const message = `route "${route.name}" leads to no configured service`;
        const retryAfter = notConfiguredRetryAfter;
        return err({
            status: 503,
            reason: RefusalReason.NoEndpoint,
            message,
            retryAfter,
            attempt: metadata.attempt,
        });
    }
    const tokens = chargedTokens(metadata, account);
    const spending = account === undefined
        ? { admitted: true as const }
        : await context.accountTokens.charge({ account: account.name, tokens });
    if (!spending.admitted) {
        return err({
            status: 429,
            reason: RefusalReason.RateExceeded,
            message: `account "${account?.name}" has used up its rate`,
            retryAfter: spending.retryAfter,
            attempt: metadata.attempt,
            level: Math.round(spending.level),
            needsReport: spending.needsReport,
            account: account?.name,
            tokens,
        });
    }
    const url = request.url ?? "/";
    return ok({
        metadata,
        table,
        route,
        service,
        account,
        method: request.method ?? "GET",
        url,
        rawHeaders: request.rawHeaders,
        body,
        arrival,
        deadline: requestDeadline(head, arrival),
        fingerprint: digestOf(account?.name ?? "", url, body).slice(0, fingerprintDigits),
        tokens,
    });
}

const fingerprintDigits = 32;

function chargedTokens(metadata: CallerMetadata, account: DirectAccount | undefined): number {
    if (account === undefined || account.countsRequests) {
        return 1;
    }
    return metadata.hasTokenCounts
        ? metadata.promptTokens + metadata.outputTokens
        : account.tokensPerPlainRequest;
}

function headerBytes(request: IncomingMessage): number {
    const fieldOverhead = 2;
    return request.rawHeaders.reduce((sum, text) => sum + text.length + fieldOverhead, 0);
}
