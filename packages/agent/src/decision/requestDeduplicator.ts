/**
 * Records the identifiers of requests that must not run twice, so that a late or repeated message isn't executed.
 *
 * @module
 */

const maxIdentifiers = 100_000;

/** A limited set of request identifiers; the oldest one is removed first. */
export class RequestDeduplicator {
    private readonly identifiers = new Set<string>();

    /** Adds a request. Returns false if it is already in the set. */
    add(request: string): boolean {
        if (this.identifiers.has(request)) {
            return false;
        }
        this.identifiers.add(request);
        if (this.identifiers.size > maxIdentifiers) {
            const [oldest] = this.identifiers;
            this.identifiers.delete(oldest);
        }
        return true;
    }
}
