/**
 * Turns a caller's request into one with a route, an account and an estimate of its tokens.
 *
 * @module
 */
import { RefusalReason } from "@redwingpin/common";
import type { ClientAccount, ManifestIndex, Route } from "@redwingpin/manifest";
import { RouteKind } from "@redwingpin/manifest";
import { err, ok, type Result } from "neverthrow";
import { charactersPerToken, defaultMaxOutputTokens } from "../constants.js";
import { notRun, type Refusal } from "./refusal.js";

/** The fields of a completion request that the router reads. */
export interface CompletionBody {
    readonly model: string;
    readonly stream: boolean;
    /** Text of the prompt or of all messages, in order. */
    readonly promptText: string;
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
        return malformed("field \"model\" must name a route");
    }
    if (fields.stream !== undefined && typeof fields.stream !== "boolean") {
        return malformed("field \"stream\" must be true or false");
    }
    const promptText = readPromptText(fields);
    if (promptText === undefined) {
        return malformed("field \"prompt\" must be a text, or field \"messages\" a list of messages with a role and content");
    }
    const maxOutputTokens = fields.max_completion_tokens ?? fields.max_tokens ?? defaultMaxOutputTokens;
    if (!Number.isSafeInteger(maxOutputTokens) || (maxOutputTokens as number) < 1) {
        return malformed("field \"max_tokens\" must be a whole number of at least 1");
    }
    return ok({
        model: fields.model,
        stream: fields.stream === true,
        promptText,
        maxOutputTokens: maxOutputTokens as number,
        fields,
    });
}

function readPromptText(fields: Readonly<Record<string, unknown>>): string | undefined {
    if (typeof fields.prompt === "string") {
        return fields.prompt;
    }
    if (!Array.isArray(fields.messages)) {
        return undefined;
    }
    const parts = (fields.messages as readonly unknown[]).map(readMessageText);
    return parts.includes(undefined) ? undefined : parts.join("\n");
}

function readMessageText(message: unknown): string | undefined {
    const { role, content } = (message ?? {}) as { role?: unknown; content?: unknown; };
    if (typeof role !== "string") {
        return undefined;
    }
    if (typeof content === "string") {
        return `${role}: ${content}`;
    }
    return Array.isArray(content) ? `${role}: ${JSON.stringify(content)}` : undefined;
}

/** Tokens that a completion costs at most: its prompt, estimated from its length, and its longest answer. */
export function estimateTokens(completion: CompletionBody): number {
    return Math.ceil(completion.promptText.length / charactersPerToken) + completion.maxOutputTokens;
}

/** Finds a route by name and checks that the account may use it. */
export function findRoute(
    index: ManifestIndex,
    name: string,
    kind: RouteKind,
    account: ClientAccount | undefined,
): Result<Route, Refusal> {
    const route = index.route(name);
    if (route === undefined || route.kind !== kind) {
        return err(notRun(RefusalReason.RouteNotFound, `route "${name}" does not exist`));
    }
    return checkAccess(route, account).map(() => route);
}

/** Checks that a caller may use a route. */
export function checkAccess(route: Route, account: ClientAccount | undefined): Result<void, Refusal> {
    if (route.access.open) {
        return ok(undefined);
    }
    if (account === undefined) {
        return err(notRun(RefusalReason.MissingKey, `route "${route.name}" needs a key, sent as a bearer token`));
    }
    return route.access.accounts.includes(account.name)
        ? ok(undefined)
        : err(notRun(RefusalReason.RouteForbidden, `account "${account.name}" may not use route "${route.name}"`));
}

/** Names of the routes to models that a caller may use. */
export function visibleModels(index: ManifestIndex, account: ClientAccount | undefined): string[] {
    return index.manifest.routes
        .filter((route) => route.kind === RouteKind.Model && checkAccess(route, account).isOk())
        .map((route) => route.name);
}
