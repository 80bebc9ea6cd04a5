/**
 * Keeps the garbage of received bytes small. The HTTP parser allocates an array buffer for each chunk, and V8 collects
 * them only when tens of megabytes have been allocated, or as many have survived: more than a small machine can spare.
 *
 * @module
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Number of received bytes after which the young generation is collected. */
const collectionInterval = 8_000_000;

type Collect = (options: { readonly type: "minor"; }) => unknown;

let bytesSinceCollection = 0;
let collect: Collect | undefined;

/** Records the size of a chunk that was received from a caller or an endpoint and will not be kept. */
export function recordReceivedBytes(bytes: number): void {
    bytesSinceCollection += bytes;
    if (bytesSinceCollection >= collectionInterval) {
        bytesSinceCollection = 0;
        collect ??= exposeCollection();
        collect({ type: "minor" });
    }
}

/** Not called at the start: V8 rejects a code cache that was compiled with other flags. */
function exposeCollection(): Collect {
    setFlagsFromString("--expose-gc");
    // Without the function, V8 collects when it does by itself.
    return runInNewContext("globalThis.gc ?? (() => {})") as Collect;
}
