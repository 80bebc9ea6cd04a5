/**
 * Stand-in for the platform's store: items with revisions, ranges in pages and watches. Each machine has a listener of its
 * own, so that a single machine can be partitioned from the store.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";
import { URL } from "node:url";

/** Time after which a call is answered, in milliseconds. */
const answerTime = 4;

/** Number of items of a page. */
const pageItems = 500;

export class Store {
    items = new Map();
    history = [];
    revision = 1;
    watches = new Set();
    listeners = new Map();

    /** Starts a listener for a machine; resolves with its `host:port`. */
    listenFor(machine) {
        const listener = { machine, isCut: false, calls: [] };
        listener.server = createServer((request, response) => {
            request.resume();
            const url = new URL(request.url, "http://store");
            listener.calls.push({ path: url.pathname, prefix: url.searchParams.get("prefix") });
            setTimeout(() => this.answer(listener, url, response), answerTime);
        });
        this.listeners.set(machine, listener);
        return new Promise((resolve) => {
            listener.server.listen(
                0,
                "127.0.0.1",
                () => resolve(`127.0.0.1:${listener.server.address().port}`),
            );
        });
    }

    /** Partitions a machine from the store without a reset: no call of it is answered any more. */
    cut(machine) {
        this.listeners.get(machine).isCut = true;
    }

    /** Ends the partition; what was held up stays lost. */
    heal(machine) {
        this.listeners.get(machine).isCut = false;
    }

    /** True if the machine waits for changes under the prefix. */
    isWatchedBy(machine, prefix) {
        return [...this.watches].some((watch) =>
            watch.listener.machine === machine && watch.prefix === prefix
        );
    }

    write(key, value) {
        return this.change({
            key,
            value: Buffer.from(JSON.stringify(value)).toString("base64"),
            created: this.items.get(key)?.created ?? this.revision + 1,
            lease: 0,
        });
    }

    remove(key) {
        return this.change({ key, removed: true });
    }

    stop() {
        for (const { server } of this.listeners.values()) {
            server.closeAllConnections();
            server.close();
        }
    }

    change(fields) {
        this.revision += 1;
        const item = { ...fields, revision: this.revision };
        if (item.removed) {
            this.items.delete(item.key);
        }
        else {
            this.items.set(item.key, item);
        }
        this.history.push(item);
        for (const watch of [...this.watches]) {
            if (item.key.startsWith(watch.prefix)) {
                this.endWatch(watch);
            }
        }
        return this.revision;
    }

    answer(listener, url, response) {
        if (listener.isCut) {
            return;
        }
        const query = url.searchParams;
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after") ?? "";
        switch (url.pathname) {
            case "/-/kv-range": {
                const found = [...this.items.values()]
                    .filter(({ key }) => key.startsWith(prefix) && key > after)
                    .sort((left, right) => left.key < right.key ? -1 : 1);
                this.send(response, {
                    items: found.slice(0, pageItems),
                    hasMore: found.length > pageItems,
                    storeRevision: this.revision,
                });
                return;
            }
            case "/-/kv-watch": {
                const watch = { listener, prefix, after: Number(after), response };
                if (this.eventsOf(watch).length > 0) {
                    this.endWatch(watch);
                    return;
                }
                this.watches.add(watch);
                watch.timer = setTimeout(() => this.endWatch(watch), Number(query.get("waitMs")));
                response.on("close", () => this.watches.delete(watch));
                return;
            }
            default:
                response.writeHead(404).end();
        }
    }

    eventsOf({ prefix, after }) {
        return this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    }

    endWatch(watch) {
        clearTimeout(watch.timer);
        this.watches.delete(watch);
        if (!watch.listener.isCut) {
            this.send(watch.response, { events: this.eventsOf(watch), storeRevision: this.revision });
        }
    }

    send(response, body) {
        if (!response.destroyed) {
            response.writeHead(200, { "content-type": "application/json" });
            response.end(JSON.stringify(body));
        }
    }
}
