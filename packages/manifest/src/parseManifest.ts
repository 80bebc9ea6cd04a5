/**
 * Reads a manifest from YAML or JSON and reports every finding, with its line and path, in one go.
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

/** Characters of a manifest file at most. */
export const maximumManifestCharacters = 64 * 1024 * 1024;

/** Parses and checks the text of a manifest. `fileName` stands in the place of each finding. */
export function parseManifest(text: string, fileName: string): Result<Manifest, Finding[]> {
    if (text.length > maximumManifestCharacters) {
        return err([{
            place: fileName,
            message: `file has ${text.length} characters, more than ${maximumManifestCharacters}`,
            advice: "split the accounts over several fleets",
        }]);
    }
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, prettyErrors: false });
    if (document.errors.length > 0) {
        return err(document.errors.map((error) => ({
            place: placeOf(fileName, lines, error.pos[0], []),
            message: error.message,
            advice: "correct the YAML or JSON",
        })));
    }
    return valueOf(document, fileName).andThen((value) =>
        checkManifest(value).mapErr((mismatches) =>
            mismatches.map((mismatch) => findingOf(mismatch, document, lines, fileName))
        )
    );
}

/** Writes a manifest as YAML that {@link parseManifest} reads. */
export function formatManifest(manifest: Manifest): string {
    return stringify(manifest);
}

/** Checks a value that may be a manifest, and fills in its defaults in place. */
export function checkManifest(value: unknown): Result<Manifest, SchemaMismatch[]> {
    const mismatches = checkSchema(value);
    if (mismatches.length > 0) {
        return err(mismatches);
    }
    const manifest = value as Manifest;
    const references = checkReferences(manifest);
    return references.length === 0 ? ok(manifest) : err(references);
}

function valueOf(document: Document, fileName: string): Result<unknown, Finding[]> {
    try {
        return ok(document.toJS());
    }
    catch (error) {
        const advice = "write aliases out in full";
        return err([{ place: fileName, message: (error as Error).message, advice }]);
    }
}

function findingOf(
    mismatch: SchemaMismatch,
    document: Document,
    lines: LineCounter,
    fileName: string,
): Finding {
    const place = placeOf(fileName, lines, offsetOf(document, mismatch.path), mismatch.path);
    return { place, message: mismatch.message, advice: mismatch.advice };
}

/** Offset of the nearest part of the document that holds the path. */
function offsetOf(document: Document, path: ValuePath): number {
    for (let length = path.length; length >= 0; length--) {
        const node = length === 0 ? document.contents : document.getIn(path.slice(0, length), true);
        if (isNode(node) && node.range) {
            return node.range[0];
        }
    }
    return 0;
}

function placeOf(fileName: string, lines: LineCounter, offset: number, path: ValuePath): string {
    const { line, col } = lines.linePos(offset);
    const where = `${fileName}:${Math.max(1, line)}:${Math.max(1, col)}`;
    return path.length === 0 ? where : `${where} ${formatPath(path)}`;
}

/** Writes a path as `accounts[2].keys[0].digest`. */
export function formatPath(path: ValuePath): string {
    return path.map((step, index) => {
        if (typeof step === "number") {
            return `[${step}]`;
        }
        return index === 0 ? step : `.${step}`;
    }).join("");
}
