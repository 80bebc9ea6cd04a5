/**
 * Divides the turns of an event loop among the connections that clients send on. What the HTTP parser does for 64 KB differs: part
 * of a body with a length is one call of a listener, chunks of a byte are some 11,000, and requests without fields some 2,000
 * requests. So bytes are parsed in slices, and a slice shrinks with the steps of the one before.
 *
 * Connections whose slices take few steps come first. Of the others, each has one slice before any has a second, and at least
 * one of them has a slice in each turn.
 *
 * @module
 */

/** Bytes of the first slice of a request. The head of an ordinary one fits. */
export const firstSliceBytes = 2_048;

const smallestSliceBytes = 256;
const largestSliceBytes = 65_536;

/** Steps that a slice should take: one for each chunk of a body, and {@link stepsOfRequest} for a request. */
const targetSteps = 256;

/** A slice may have this many times the size of the one before. */
const maxGrowth = 8;

/** Slices of an ordinary request take fewer steps; only slices that take more count for the turn. */
export const ordinarySteps = 128;

/** Steps after which the connections that are left wait for the next turn. */
const maxTurnSteps = 1_024;

/** Steps of a request, besides one for each field: it is parsed, checked, answered and logged. */
const requestSteps = 32;

/** Steps of a request whose head has so many names and values of fields. */
export function stepsOfRequest(rawFields: number): number {
    return requestSteps + rawFields / 2;
}

/** Size of the slices of one connection. */
export class SlicePace {
    private size = firstSliceBytes;
    private heavy = false;

    /** Size in bytes of the next slice. */
    get sliceBytes(): number {
        return this.size;
    }

    /** True if the latest slice took more steps than those of ordinary requests. */
    get isHeavy(): boolean {
        return this.heavy;
    }

    /** Records that a slice was parsed; `isInBody` if what follows belongs to the body of a request. */
    record(bytes: number, steps: number, isInBody: boolean): void {
        this.heavy = steps > ordinarySteps;
        const fitting = bytes * targetSteps / Math.max(steps, 1);
        const largest = isInBody ? Math.min(largestSliceBytes, maxGrowth * bytes) : firstSliceBytes;
        this.size = Math.floor(Math.max(smallestSliceBytes, Math.min(fitting, largest)));
    }
}

/** The connections that have bytes to parse, in the order of their turns. */
export class ReadTurns<Connection> {
    private readonly light = new Set<Connection>();
    private readonly heavy = new Set<Connection>();
    private steps = 0;
    private hasHeavyTurn = false;

    /** True if connections wait. */
    get isBusy(): boolean {
        return this.light.size + this.heavy.size > 0;
    }

    /** True if there are no steps left in this turn. */
    get isOver(): boolean {
        return this.steps >= maxTurnSteps;
    }

    /** Adds a connection at the end of its queue. */
    add(connection: Connection, isHeavy: boolean): void {
        this.remove(connection);
        (isHeavy ? this.heavy : this.light).add(connection);
    }

    /** Removes a connection that has closed or has nothing to parse. */
    remove(connection: Connection): void {
        this.light.delete(connection);
        this.heavy.delete(connection);
    }

    /** Removes and returns the connection that may parse a slice now; `undefined` if none may in this turn. */
    next(): Connection | undefined {
        if (this.heavy.size > 0 && (!this.hasHeavyTurn || (this.light.size === 0 && !this.isOver))) {
            this.hasHeavyTurn = true;
            return takeFirst(this.heavy);
        }
        return this.isOver ? undefined : takeFirst(this.light);
    }

    /** Records the steps of a slice; returns true if it counts for the turn, so that {@link beginTurn} has to follow. */
    record(steps: number): boolean {
        if (steps <= ordinarySteps) {
            return false;
        }
        this.steps += steps;
        return true;
    }

    /** Records that a turn of the event loop has begun. */
    beginTurn(): void {
        this.steps = 0;
        this.hasHeavyTurn = false;
    }
}

function takeFirst<T>(queue: Set<T>): T | undefined {
    for (const first of queue) {
        queue.delete(first);
        return first;
    }
    return undefined;
}
