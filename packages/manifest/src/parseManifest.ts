/**
 * Parses a manifest in YAML or JSON and reports all findings together, each with its line and path.
 *
 * @module
 */
import type { Finding } from "@redwingpin/common";
import { err, ok, type Result } from "neverthrow";
import { type Document, isNode, LineCounter, parseDocument, stringify } from "yaml";
import type { Manifest } from "./manifest.js";
import { checkReferences } from "./manifestReferences.js";
import { manifestSchema } from "./manifestSchema.js";
import { createSchemaCheck, type SchemaMismatch, type ValuePath } from "./schemaCheck.js";

const checkSchema = createSchemaCheck(manifestSchema);

/** Maximum length of a manifest file. */
export const maximumManifestCharacters = 64 * 1024 * 1024;

/** Parses and checks the text of a manifest. The place of each finding starts with `fileName`. */
export function parseManifest(text: string, fileName: string): Result<Manifest, Finding[]> {
    if (text.length > maximumManifestCharacters) {
        return err([{
            place: fileName,
            message: `file has ${text.length} characters; the maximum is ${maximumManifestCharacters}`,
            advice: "split the accounts over several fleets",
        }]);
    }
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
    if (document.errors.length > 0) {
        return err(document.errors.map((error) => ({
            place: formatPlace(fileName, lines, error.pos[0], []),
            message: error.message,
            advice: "correct the YAML or JSON",
        })));
    }
    return toValue(document, fileName).andThen((value) =>
        checkManifest(value).mapErr((mismatches) =>
            mismatches.map((mismatch) => toFinding(mismatch, document, lines, fileName))
        )
    );
}

/** Formats a manifest as YAML that {@link parseManifest} accepts. */
export function formatManifest(manifest: Manifest): string {
    return stringify(manifest);
}

/** Checks that a value is a manifest, and adds its missing defaults in place. */
export function checkManifest(value: unknown): Result<Manifest, SchemaMismatch[]> {
    const mismatches = checkSchema(value);
    if (mismatches.length > 0) {
        return err(mismatches);
    }
    const manifest = value as Manifest;
    const references = checkReferences(manifest);
    return references.length === 0 ? ok(manifest) : err(references);
}

function toValue(document: Document, fileName: string): Result<unknown, Finding[]> {
    try {
        return ok(document.toJS());
    }
    catch (error) {
        const advice = "write aliases out in full";
        return err([{ place: fileName, message: (error as Error).message, advice }]);
    }
}

function toFinding(
    mismatch: SchemaMismatch,
    document: Document,
    lines: LineCounter,
    fileName: string,
): Finding {
    const place = formatPlace(fileName, lines, findOffset(document, mismatch.path), mismatch.path);
    return { place, message: mismatch.message, advice: mismatch.advice };
}

/** Returns the offset of the deepest node of the document that lies on the path. */
function findOffset(document: Document, path: ValuePath): number {
    for (let length = path.length; length >= 0; length--) {
        const node = length === 0 ? document.contents : document.getIn(path.slice(0, length), true);
        if (isNode(node) && node.range) {
            return node.range[0];
        }
    }
    return 0;
}

function formatPlace(fileName: string, lines: LineCounter, offset: number, path: ValuePath): string {
    const { line, col } = lines.linePos(offset);
    const position = `${fileName}:${Math.max(1, line)}:${Math.max(1, col)}`;
    return path.length === 0 ? position : `${position} ${formatPath(path)}`;
}

/** Formats a path like `accounts[2].keys[0].digest`. */
export function formatPath(path: ValuePath): string {
    return path.map((step, index) => {
        if (typeof step === "number") {
            return `[${step}]`;
        }
        return index === 0 ? step : `.${step}`;
    }).join("");
}
