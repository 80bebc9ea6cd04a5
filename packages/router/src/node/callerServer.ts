/**
 * HTTP server for callers: checks each request and passes it to the pipeline.
 *
 * @module
 */
import {
    answerHealthRequest,
    type Clock,
    digestOf,
    endAfterDiscard,
    hasBody,
    type HealthSource,
    type Logger,
    type Milliseconds,
    type ReasonCounters,
    RefusalReason,
    refuseBody,
} from "@redwingpin/common";
import type { ClientAccount, ManifestIndex } from "@redwingpin/manifest";
import { prefixBlocks } from "@redwingpin/placement";
import type { HeaderField } from "@redwingpin/protocol";
import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import {
    authenticate,
    headersForEndpoint,
    readBearerKey,
    refuseKeyInContent,
} from "../decision/credentials.js";
import { notRun, type Refusal } from "../decision/refusal.js";
import {
    bodyForEngine,
    findModelRoute,
    findServiceRoute,
    maxTokenCost,
    parseCompletionBody,
    prefixScope,
    visibleModels,
} from "../decision/routedRequest.js";
import { answerJson, answerRefusal } from "./callerAnswer.js";
import { CallerLimits } from "./callerLimits.js";
import type { CallerRequest } from "./callerRequest.js";
import { continueTrace } from "./traceContext.js";

/** Dependencies of the server in its router. */
export interface CallerServerContext extends HealthSource {
    readonly clock: Clock;
    readonly counters: ReasonCounters;
    readonly requestTimeout: Milliseconds;
    /** True while the router stops: each connection closes after its answer. */
    readonly isStopping: () => boolean;
    readonly logger: Logger;
    readonly maxConnections: number;
    /** Maximum total size in bytes of the request bodies that are held. */
    readonly maxBufferedBytes: number;
    /** The manifest in force; absent until the first one is installed. */
    readonly manifest: () => ManifestIndex | undefined;
    /** Serves a request that has passed its checks. */
    readonly serve: (request: CallerRequest, response: ServerResponse) => Promise<void>;
    /** The router's status, for operators. */
    readonly status: () => unknown;
}

const completionPaths: ReadonlySet<string> = new Set(["/v1/completions", "/v1/chat/completions"]);
const modelsPath = "/v1/models";
const statusPath = "/status";
const healthPaths: ReadonlySet<string> = new Set(["/health", "/ready", "/metrics", statusPath]);
const servicesPattern = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
const headersTimeoutMilliseconds = 10_000;
const maxHeaderBytes = 32 * 1024;

/** Creates the server without listening. */
export function createCallerServer(context: CallerServerContext): Server {
    const server = createServer(
        {
            maxHeaderSize: maxHeaderBytes,
            headersTimeout: headersTimeoutMilliseconds,
            requestTimeout: context.requestTimeout,
        },
        (request, response) => void handleRequest(context, limits, request, response),
    );
    const limits = new CallerLimits(context);
    limits.attach(server);
    return server;
}

async function handleRequest(
    context: CallerServerContext,
    limits: CallerLimits,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    if (!limits.begin(request, response)) {
        return;
    }
    response.on("error", () => response.destroy());
    const url = request.url ?? "/";
    if (context.isStopping()) {
        // The load balancer sends the caller's next connection to another router.
        response.setHeader("connection", "close");
    }
    if (healthPaths.has(url) && hasBody(request)) {
        refuseBody(request, response);
        return;
    }
    if (answerHealthRequest(url, response, context)) {
        return;
    }
    if (url === statusPath) {
        answerJson(response, 200, context.status());
        return;
    }
    const checked = await checkRequest(context, limits, request, response);
    if (checked.isErr()) {
        context.counters.countRefusal(checked.error.reason);
        if (request.complete) {
            answerRefusal(response, checked.error);
            return;
        }
        response.setHeader("connection", "close");
        answerRefusal(response, checked.error, () => endAfterDiscard(request, response));
        return;
    }
    if (checked.value !== undefined) {
        await context.serve(checked.value, response);
    }
}

/** Checks a request. Resolves with `undefined` if the request has already been answered, or its caller has left. */
async function checkRequest(
    context: CallerServerContext,
    limits: CallerLimits,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<Result<CallerRequest | undefined, Refusal>> {
    const index = context.manifest();
    if (index === undefined) {
        return err(
            notRun(
                RefusalReason.NotConfigured,
                "no manifest is in force yet; apply one or wait for the store",
            ),
        );
    }
    const key = readBearerKey(request.headers.authorization);
    const account = key.andThen((value) => authenticate(index, value));
    if (key.isErr() || account.isErr()) {
        return err(key.isErr() ? key.error : account._unsafeUnwrapErr());
    }
    const url = request.url ?? "/";
    if (url === modelsPath && request.method === "GET") {
        answerModels(index, account.value, response);
        return ok(undefined);
    }
    const memory = limits.checkMemory();
    if (memory.isErr()) {
        return err(memory.error);
    }
    const body = await limits.readBody(request, response);
    if (body === undefined) {
        return ok(undefined);
    }
    const caller: Caller = { index, key: key.value, account: account.value };
    return body.andThen((bytes) =>
        refuseKeyInContent(caller.key, url, bytes).andThen(() =>
            routeRequest(context, request, caller, bytes)
        )
    );
}

/** The sender of a request, and the manifest by which it was checked. */
interface Caller {
    readonly index: ManifestIndex;
    readonly key: string | undefined;
    readonly account: ClientAccount | undefined;
}

function routeRequest(
    context: CallerServerContext,
    request: IncomingMessage,
    caller: Caller,
    body: Buffer,
): Result<CallerRequest, Refusal> {
    const url = request.url ?? "/";
    if (completionPaths.has(url)) {
        return request.method === "POST"
            ? completionRequest(context, request, caller, body)
            : err(notRun(RefusalReason.MalformedRequest, `path "${url}" accepts only POST`));
    }
    const service = servicesPattern.exec(url);
    return service === null // eslint-disable-line no-restricted-syntax -- RegExp.exec returns null
        ? err(notRun(RefusalReason.RouteNotFound, `path "${url.split("?")[0]}" does not exist`))
        : serviceRequest(context, request, caller, body, {
            name: service[1],
            path: `${service[2] ?? "/"}${service[3] ?? ""}`,
        });
}

function completionRequest(
    context: CallerServerContext,
    request: IncomingMessage,
    caller: Caller,
    body: Buffer,
): Result<CallerRequest, Refusal> {
    return parseCompletionBody(body).andThen((completion) =>
        findModelRoute(caller.index, completion.model, caller.account).map((route) => {
            const scope = prefixScope(route, caller.account);
            const prefix = prefixBlocks(scope, completion.prompt);
            const fields = bodyForEngine(completion, route, scope);
            return {
                ...commonFields(context, request, caller, body),
                route,
                path: request.url ?? "/",
                body: Buffer.from(JSON.stringify(fields)),
                completion: { ...completion, fields },
                tokens: maxTokenCost(prefix.promptTokens, completion),
                prefix,
            };
        })
    );
}

function serviceRequest(
    context: CallerServerContext,
    request: IncomingMessage,
    caller: Caller,
    body: Buffer,
    target: { readonly name: string; readonly path: string; },
): Result<CallerRequest, Refusal> {
    return findServiceRoute(caller.index, target.name, caller.account).map((route) => ({
        ...commonFields(context, request, caller, body),
        route,
        path: target.path,
        body,
        completion: undefined,
        tokens: route.callTokens,
        prefix: { blocks: [], sharedBlocks: 0, promptTokens: route.callTokens },
    }));
}

function commonFields(context: CallerServerContext, request: IncomingMessage, caller: Caller, body: Buffer) {
    const account = caller.account?.name ?? "";
    return {
        identifier: randomUUID(),
        traceparent: continueTrace(singleHeader(request, "traceparent")),
        account: caller.account,
        method: request.method ?? "GET",
        headers: headersForEndpoint(headerFields(request), caller.key),
        idempotencyKey: singleHeader(request, "idempotency-key"),
        arrival: context.clock.now(),
        deadline: context.clock.now() + context.requestTimeout,
        fingerprint: digestOf(account, body),
    };
}

function answerModels(
    index: ManifestIndex,
    account: ClientAccount | undefined,
    response: ServerResponse,
): void {
    const data = visibleModels(index, account).map((id) => ({
        id,
        object: "model",
        created: 0,
        owned_by: "redwingpin",
    }));
    answerJson(response, 200, { object: "list", data });
}

function singleHeader(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function headerFields(request: IncomingMessage): HeaderField[] {
    return Object.entries(request.headers).flatMap(([name, value]) =>
        [value ?? []].flat().map((single) => ({ name, value: single }))
    );
}
