/**
 * Reads completion requests, finds their routes and checks access to them, and makes the body for the engine.
 *
 * @module
 */
import { digestOf, RefusalReason } from "@redwingpin/common";
import type { ClientAccount, ManifestIndex, ModelRoute, Route, ServiceRoute } from "@redwingpin/manifest";
import { RouteKind, RoutePriority } from "@redwingpin/manifest";
import { type PrefixScope, type Prompt, type PromptMessage, ScopeKind } from "@redwingpin/placement";
import { err, ok, type Result } from "neverthrow";
import { defaultMaxOutputTokens } from "../constants.js";
import { notRun, type Refusal } from "./refusal.js";

/** The fields of a completion request that the router reads. */
export interface CompletionBody {
    readonly model: string;
    readonly stream: boolean;
    /** The prompt's text or the chat's messages in order. */
    readonly prompt: Prompt;
    readonly maxOutputTokens: number;
    /** All fields of the body. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses a completion request's body. */
export function parseCompletionBody(body: Buffer): Result<CompletionBody, Refusal> {
    const malformed = (message: string) => err(notRun(RefusalReason.MalformedRequest, message));
    let fields: Record<string, unknown>;
    try {
        fields = JSON.parse(body.toString("utf8")) as Record<string, unknown>;
    }
    catch {
        return malformed("the body is not valid JSON");
    }
    if (typeof fields !== "object" || !fields || Array.isArray(fields)) {
        return malformed("the body is not a JSON object");
    }
    if (typeof fields.model !== "string") {
        return malformed('field "model" must be the name of a route');
    }
    if (fields.stream !== undefined && typeof fields.stream !== "boolean") {
        return malformed('field "stream" must be true or false');
    }
    const prompt = readPrompt(fields);
    if (prompt === undefined) {
        return malformed(
            'field "prompt" must be a string, or field "messages" a list of messages with a role and content',
        );
    }
    const maxOutputTokens = fields.max_completion_tokens ?? fields.max_tokens ?? defaultMaxOutputTokens;
    if (!Number.isSafeInteger(maxOutputTokens) || (maxOutputTokens as number) < 1) {
        return malformed('field "max_tokens" must be an integer of at least 1');
    }
    return ok({
        model: fields.model,
        stream: fields.stream === true,
        prompt,
        maxOutputTokens: maxOutputTokens as number,
        fields,
    });
}

function readPrompt(fields: Readonly<Record<string, unknown>>): Prompt | undefined {
    if (typeof fields.prompt === "string") {
        return fields.prompt;
    }
    if (!Array.isArray(fields.messages) || fields.messages.length === 0) {
        return undefined;
    }
    const messages = (fields.messages as readonly unknown[]).map(readMessage);
    return messages.every((message) => message !== undefined) ? messages : undefined;
}

function readMessage(message: unknown): PromptMessage | undefined {
    const { role, content } = (message ?? {}) as { role?: unknown; content?: unknown; };
    if (typeof role !== "string") {
        return undefined;
    }
    if (typeof content === "string") {
        return { role, content };
    }
    return Array.isArray(content) ? { role, content: JSON.stringify(content) } : undefined;
}

/** Scope of a completion's cache entries: the account, or the route if it is open or the caller has no account. */
export function prefixScope(route: ModelRoute, account: ClientAccount | undefined): PrefixScope {
    const weights = { model: route.model, version: route.version, adapter: route.adapter };
    return route.access.open || account === undefined
        ? { kind: ScopeKind.OpenRoute, name: route.name, weights }
        : { kind: ScopeKind.Account, name: account.name, weights };
}

/**
 * The completion's body for the engine: with the name of the model or adapter in place of the route's, the route's
 * priority and a cache salt of the scope, so that the engine's cache shares nothing between accounts or weights. The
 * caller's own values of these fields are dropped, and so is its `resume` field, which only the router sets.
 */
export function bodyForEngine(
    completion: CompletionBody,
    route: ModelRoute,
    scope: PrefixScope,
): Record<string, unknown> {
    const { resume: _resume, ...fields } = completion.fields;
    return {
        ...fields,
        model: route.adapter ?? route.model,
        cache_salt: cacheSalt(scope),
        priority: enginePriority(route.priority),
    };
}

/** Priority as a number for engines, which serve lower values first. */
function enginePriority(priority: RoutePriority): number {
    switch (priority) {
        case RoutePriority.Interactive:
            return 0;
        case RoutePriority.Normal:
            return 1;
        case RoutePriority.Bulk:
            return 2;
    }
}

function cacheSalt(scope: PrefixScope): string {
    const { model, version, adapter } = scope.weights;
    return digestOf(scope.kind, scope.name, model, version, adapter ?? "");
}

/** Maximum number of tokens that a completion costs: its prompt, estimated from its length, and its longest answer. */
export function maxTokenCost(promptTokens: number, completion: CompletionBody): number {
    return promptTokens + completion.maxOutputTokens;
}

/** Finds a route to a model by name and checks that the account has access to it. */
export function findModelRoute(
    index: ManifestIndex,
    name: string,
    account: ClientAccount | undefined,
): Result<ModelRoute, Refusal> {
    const route = index.route(name);
    return route?.kind === RouteKind.Model
        ? checkAccess(route, account).map(() => route)
        : err(unknownRoute(name));
}

/** Finds a route to a service by name and checks that the account has access to it. */
export function findServiceRoute(
    index: ManifestIndex,
    name: string,
    account: ClientAccount | undefined,
): Result<ServiceRoute, Refusal> {
    const route = index.route(name);
    return route?.kind === RouteKind.Service
        ? checkAccess(route, account).map(() => route)
        : err(unknownRoute(name));
}

function unknownRoute(name: string): Refusal {
    return notRun(RefusalReason.RouteNotFound, `route "${name}" does not exist`);
}

/** Checks that a caller has access to a route. */
export function checkAccess(route: Route, account: ClientAccount | undefined): Result<void, Refusal> {
    if (route.access.open) {
        return ok(undefined);
    }
    if (account === undefined) {
        return err(
            notRun(RefusalReason.MissingKey, `route "${route.name}" requires a key as a bearer token`),
        );
    }
    return route.access.accounts.includes(account.name)
        ? ok(undefined)
        : err(
            notRun(
                RefusalReason.RouteForbidden,
                `account "${account.name}" has no access to route "${route.name}"`,
            ),
        );
}

/** Names of the routes to models that a caller has access to. */
export function visibleModels(index: ManifestIndex, account: ClientAccount | undefined): string[] {
    return index.manifest.routes
        .filter((route) => route.kind === RouteKind.Model && checkAccess(route, account).isOk())
        .map((route) => route.name);
}
