/**
 * Translates what an engine says it has loaded into the models, versions and adapters of the manifest.
 *
 * @module
 */
import type { ManifestIndex } from "@redwingpin/manifest";
import type { WeightsReference } from "@redwingpin/protocol";

/** What an engine has loaded, by the names of the weight store. */
export interface LoadedWeights {
    readonly weights: string | undefined;
    readonly adapters: readonly string[];
}

/** Every version, with and without adapters, that an engine can serve under this manifest. */
export function servedWeights(index: ManifestIndex | undefined, loaded: LoadedWeights): WeightsReference[] {
    if (index === undefined || loaded.weights === undefined) {
        return [];
    }
    return index.manifest.models.flatMap((model) =>
        model.versions
            .filter((version) => version.weights === loaded.weights)
            .flatMap((version) => {
                const bare = { model: model.name, version: version.name };
                const adapters = loaded.adapters.filter((adapter) => model.adapters.includes(adapter));
                return [bare, ...adapters.map((adapter) => ({ ...bare, adapter }))];
            })
    );
}
