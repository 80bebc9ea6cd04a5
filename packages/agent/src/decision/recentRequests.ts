/**
 * Remembers the identifiers of requests that may not run twice, so that a late or repeated message runs nothing.
 *
 * @module
 */

const maxRemembered = 100_000;

/** A bounded memory of request identifiers, oldest forgotten first. */
export class RecentRequests {
    private readonly identifiers = new Set<string>();

    /** Remembers a request. Returns false where it was remembered already. */
    add(request: string): boolean {
        if (this.identifiers.has(request)) {
            return false;
        }
        this.identifiers.add(request);
        if (this.identifiers.size > maxRemembered) {
            const [oldest] = this.identifiers;
            this.identifiers.delete(oldest);
        }
        return true;
    }
}
