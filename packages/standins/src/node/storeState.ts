/**
 * State of the store stand-in: keys, leases and history. Its answers have the format of etcd's version 3 JSON gateway.
 *
 * @module
 */

/** A key and its value in the gateway's format. */
export interface KeyValue {
    readonly key: string;
    readonly value: string;
    readonly create_revision: string;
    readonly mod_revision: string;
    readonly version: string;
    readonly lease?: string;
}

/** A change of one key. */
export interface StoreEvent {
    readonly type?: "DELETE";
    readonly kv: KeyValue;
}

/** The supported fields of the gateway's requests. Unsupported kinds of comparison are refused. */
export interface StoreRequest {
    readonly key?: string;
    readonly range_end?: string;
    readonly value?: string;
    readonly lease?: string;
    readonly compare?: readonly Comparison[];
    readonly success?: readonly Operation[];
    readonly failure?: readonly Operation[];
}

interface Comparison {
    readonly target?: string;
    readonly result?: string;
    readonly key?: string;
    readonly mod_revision?: string;
    readonly create_revision?: string;
    readonly version?: string;
}

interface Operation {
    readonly request_put?: StoreRequest;
    readonly request_range?: StoreRequest;
    readonly request_delete_range?: StoreRequest;
}

interface Lease {
    readonly seconds: number;
    timer: NodeJS.Timeout;
}

const maximumValueBytes = 1_048_576;
const historyCapacity = 1_000;
const millisecondsPerSecond = 1_000;

/** Keys, leases and history in memory. */
export class StoreState {
    private revision = 1;
    private leaseCount = 0;
    private readonly keys = new Map<string, KeyValue>();
    private readonly leases = new Map<string, Lease>();
    private history: StoreEvent[] = [];
    private compactedRevision = 0;
    /** Called after each write. */
    onChange: () => void = () => {};

    header(): { cluster_id: string; member_id: string; revision: string; raft_term: string; } {
        return { cluster_id: "1", member_id: "1", revision: String(this.revision), raft_term: "1" };
    }

    range(request: StoreRequest): object {
        const kvs = this.findKeys(request);
        return { header: this.header(), kvs, count: String(kvs.length) };
    }

    put(request: StoreRequest): object {
        this.validatePut(request);
        this.revision++;
        this.applyPut(request);
        this.onChange();
        return { header: this.header() };
    }

    deleteRange(request: StoreRequest): object {
        const deleted = this.applyDelete(request, this.revision + 1);
        this.revision += deleted > 0 ? 1 : 0;
        this.onChange();
        return { header: this.header(), deleted: String(deleted) };
    }

    txn(request: StoreRequest): object {
        const succeeded = (request.compare ?? []).every((comparison) => this.isSatisfied(comparison));
        const operations = (succeeded ? request.success : request.failure) ?? [];
        operations.forEach((operation) => operation.request_put && this.validatePut(operation.request_put));
        const previousRevision = this.revision;
        if (operations.some((operation) => this.changesKeys(operation))) {
            this.revision++;
        }
        const responses = operations.map((operation) => this.applyOperation(operation));
        if (this.revision > previousRevision) {
            this.onChange();
        }
        return { header: this.header(), succeeded: succeeded || undefined, responses };
    }

    grantLease(seconds: number): object {
        if (!(seconds >= 1)) {
            throw new Error("lease TTL must be at least 1");
        }
        const id = String(++this.leaseCount);
        this.leases.set(id, { seconds, timer: this.startLeaseTimer(id, seconds) });
        return { header: this.header(), ID: id, TTL: String(seconds) };
    }

    keepAlive(id: string): object {
        const lease = this.leases.get(id);
        if (!lease) {
            return { result: { header: this.header(), ID: id } };
        }
        clearTimeout(lease.timer);
        lease.timer = this.startLeaseTimer(id, lease.seconds);
        return { result: { header: this.header(), ID: id, TTL: String(lease.seconds) } };
    }

    /** Returns the changes in a key range from `revision` on, or undefined if the history starts later than that. */
    eventsSince(request: StoreRequest, revision: number): StoreEvent[] | undefined {
        if (revision <= this.compactedRevision) {
            return undefined;
        }
        return this.history.filter((event) =>
            Number(event.kv.mod_revision) >= revision && isInRange(event.kv.key, request)
        );
    }

    /** Returns the revision that the next change will have. */
    nextRevision(): number {
        return this.revision + 1;
    }

    /** Stops the timers of all leases. */
    stop(): void {
        this.leases.forEach((lease) => clearTimeout(lease.timer));
    }

    private findKeys(request: StoreRequest): KeyValue[] {
        return [...this.keys.values()].filter((kv) => isInRange(kv.key, request)).sort((left, right) =>
            Buffer.compare(Buffer.from(left.key, "base64"), Buffer.from(right.key, "base64"))
        );
    }

    private isSatisfied(comparison: Comparison): boolean {
        const kv = this.keys.get(comparison.key ?? "");
        if ((comparison.result ?? "EQUAL") !== "EQUAL") {
            throw new Error(`comparison "${comparison.result}" is not supported by this stand-in`);
        }
        switch (comparison.target) {
            case "MOD":
                return (kv?.mod_revision ?? "0") === String(comparison.mod_revision ?? "0");
            case "CREATE":
                return (kv?.create_revision ?? "0") === String(comparison.create_revision ?? "0");
            case "VERSION":
                return (kv?.version ?? "0") === String(comparison.version ?? "0");
            default:
                throw new Error(`comparison of "${comparison.target}" is not supported by this stand-in`);
        }
    }

    private changesKeys(operation: Operation): boolean {
        return operation.request_put !== undefined
            || (operation.request_delete_range !== undefined
                && this.findKeys(operation.request_delete_range).length > 0);
    }

    private applyOperation(operation: Operation): object {
        if (operation.request_put) {
            this.applyPut(operation.request_put);
            return { response_put: { header: this.header() } };
        }
        if (operation.request_delete_range) {
            const deleted = this.applyDelete(operation.request_delete_range, this.revision);
            return { response_delete_range: { header: this.header(), deleted: String(deleted) } };
        }
        return { response_range: this.range(operation.request_range ?? {}) };
    }

    private validatePut(request: StoreRequest): void {
        if (!request.key) {
            throw new Error("etcdserver: key is not provided");
        }
        if (Buffer.byteLength(request.value ?? "", "base64") > maximumValueBytes) {
            throw new Error("etcdserver: request is too large");
        }
        if (request.lease && !this.leases.has(request.lease)) {
            throw new Error("etcdserver: requested lease not found");
        }
    }

    private applyPut(request: StoreRequest): void {
        const key = request.key!;
        const previous = this.keys.get(key);
        const kv: KeyValue = {
            key,
            value: request.value ?? "",
            create_revision: previous?.create_revision ?? String(this.revision),
            mod_revision: String(this.revision),
            version: String(Number(previous?.version ?? "0") + 1),
            lease: request.lease,
        };
        this.keys.set(key, kv);
        this.appendToHistory({ kv });
    }

    private applyDelete(request: StoreRequest, revision: number): number {
        const kvs = this.findKeys(request);
        for (const kv of kvs) {
            this.keys.delete(kv.key);
            const deleted = { key: kv.key, value: "", create_revision: "0", version: "0" };
            this.appendToHistory({ type: "DELETE", kv: { ...deleted, mod_revision: String(revision) } });
        }
        return kvs.length;
    }

    private appendToHistory(event: StoreEvent): void {
        this.history.push(event);
        if (this.history.length > historyCapacity) {
            const dropped = this.history.splice(0, this.history.length - historyCapacity / 2);
            this.compactedRevision = Number(dropped.at(-1)!.kv.mod_revision);
        }
    }

    private startLeaseTimer(id: string, seconds: number): NodeJS.Timeout {
        return setTimeout(() => {
            this.leases.delete(id);
            const attachedKeys = [...this.keys.values()].filter((kv) => kv.lease === id);
            attachedKeys.forEach((kv) => this.deleteRange({ key: kv.key }));
        }, seconds * millisecondsPerSecond);
    }
}

function isInRange(key: string, request: StoreRequest): boolean {
    if (!request.range_end) {
        return key === request.key;
    }
    const bytes = Buffer.from(key, "base64");
    const end = Buffer.from(request.range_end, "base64");
    const isUnbounded = end.length === 1 && end[0] === 0;
    return Buffer.compare(bytes, Buffer.from(request.key ?? "", "base64")) >= 0
        && (isUnbounded || Buffer.compare(bytes, end) < 0);
}
