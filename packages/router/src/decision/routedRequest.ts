/**
 * Turns a caller's request into one with a route, an account and an estimate of its tokens.
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
    /** The prompt's text, or the chat's messages in order. */
    readonly prompt: Prompt;
    readonly maxOutputTokens: number;
    /** The whole body as the caller sent it. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Reads a completion request's body. */
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
        return malformed('field "model" must name a route');
    }
    if (fields.stream !== undefined && typeof fields.stream !== "boolean") {
        return malformed('field "stream" must be true or false');
    }
    const prompt = readPrompt(fields);
    if (prompt === undefined) {
        return malformed(
            'field "prompt" must be a text, or field "messages" a list of messages with a role and content',
        );
    }
    const maxOutputTokens = fields.max_completion_tokens ?? fields.max_tokens ?? defaultMaxOutputTokens;
    if (!Number.isSafeInteger(maxOutputTokens) || (maxOutputTokens as number) < 1) {
        return malformed('field "max_tokens" must be a whole number of at least 1');
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

/** What a completion's cache entries belong to: the account, or the route where it is open to all. */
export function prefixScope(route: ModelRoute, account: ClientAccount | undefined): PrefixScope {
    const weights = { model: route.model, version: route.version, adapter: route.adapter };
    return route.access.open || account === undefined
        ? { kind: ScopeKind.OpenRoute, name: route.name, weights }
        : { kind: ScopeKind.Account, name: account.name, weights };
}

/**
 * The completion's body as the engine gets it: the model's name in place of the route's, the route's priority, and a
 * salt of its scope, so that the engine's cache shares nothing between accounts or weights. What the caller wrote in
 * these fields is dropped.
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

/** Priority in the engines' terms: lower values are served first. */
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

/** Tokens that a completion costs at most: its prompt, estimated from its length, and its longest answer. */
export function mostTokens(promptTokens: number, completion: CompletionBody): number {
    return promptTokens + completion.maxOutputTokens;
}

/** Finds a route to a model by name and checks that the account may use it. */
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

/** Finds a route to a service by name and checks that the account may use it. */
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

/** Checks that a caller may use a route. */
export function checkAccess(route: Route, account: ClientAccount | undefined): Result<void, Refusal> {
    if (route.access.open) {
        return ok(undefined);
    }
    if (account === undefined) {
        return err(
            notRun(RefusalReason.MissingKey, `route "${route.name}" needs a key, sent as a bearer token`),
        );
    }
    return route.access.accounts.includes(account.name)
        ? ok(undefined)
        : err(
            notRun(
                RefusalReason.RouteForbidden,
                `account "${account.name}" may not use route "${route.name}"`,
            ),
        );
}

/** Names of the routes to models that a caller may use. */
export function visibleModels(index: ManifestIndex, account: ClientAccount | undefined): string[] {
    return index.manifest.routes
        .filter((route) => route.kind === RouteKind.Model && checkAccess(route, account).isOk())
        .map((route) => route.name);
}
