/**
 * Translates the names of the weights and adapters that an engine has loaded into models, versions and adapters of the
 * manifest.
 *
 * @module
 */
import type { ManifestIndex, Model } from "@redwingpin/manifest";
import type { WeightsReference } from "@redwingpin/protocol";
import { pipe } from "fp-ts/lib/function.js";
import { chain, filter, map, prepend } from "fp-ts/lib/ReadonlyArray.js";

/** Weights and adapters that an engine has loaded, by their names in the weight store. */
export interface LoadedWeights {
    readonly weights: string | undefined;
    readonly adapters: readonly string[];
}

/** All versions, with and without adapters, that an engine can serve under this manifest. */
export function servableWeights(
    index: ManifestIndex | undefined,
    loaded: LoadedWeights,
): readonly WeightsReference[] {
    if (index === undefined || loaded.weights === undefined) {
        return [];
    }
    return pipe(
        index.manifest.models,
        chain((model) =>
            pipe(
                model.versions,
                filter((version) => version.weights === loaded.weights),
                chain((version) => withAdapters(model, version.name, loaded.adapters)),
            )
        ),
    );
}

function withAdapters(model: Model, version: string, loaded: readonly string[]): readonly WeightsReference[] {
    const base: WeightsReference = { model: model.name, version };
    return pipe(
        loaded,
        filter((adapter) => model.adapters.includes(adapter)),
        map((adapter): WeightsReference => ({ ...base, adapter })),
        prepend(base),
    );
}
