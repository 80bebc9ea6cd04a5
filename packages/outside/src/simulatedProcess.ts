/**
 * Simulated processes for fuzzing, tests and experiments: each has its own clock and store client, and can be
 * killed or frozen. A killed process never runs again, but what it has sent still arrives; a frozen one goes on
 * after it is thawed.
 *
 * @module
 */
import type { Clock, FakeClock, Milliseconds } from "@redwingpin/common";
import { ResultAsync } from "neverthrow";
import type { KeyValueStore } from "./store.js";

const minimumStep: Milliseconds = 5;
const maximumStepsPerPass = 400;

/** One process of a simulated site. */
export class SimulatedProcess {
    /** The clock that the process sees. */
    readonly clock: Clock;
    private frozen = false;
    private killed = false;
    private deferred: (() => void)[] = [];

    constructor(shared: FakeClock) {
        this.clock = {
            now: () => shared.now(),
            wallTime: () => shared.wallTime(),
            schedule: (delay, callback) => shared.schedule(delay, () => this.run(callback)),
        };
    }

    /** Ends the process at once. */
    kill(): void {
        this.killed = true;
        this.deferred = [];
    }

    /** Stops the process from running until it is thawed. */
    freeze(): void {
        this.frozen = true;
    }

    /** Lets the process go on. */
    thaw(): void {
        this.frozen = false;
        const { deferred } = this;
        this.deferred = [];
        deferred.forEach((callback) => callback());
    }

    /** True while the process runs code. */
    get runs(): boolean {
        return !this.frozen && !this.killed;
    }

    /** Runs code in the process: now, after it is thawed, or never. */
    run(callback: () => void): void {
        if (this.killed) {
            return;
        }
        if (this.frozen) {
            this.deferred.push(() => this.run(callback));
            return;
        }
        callback();
    }

    /** Resolves in the process with what was received from outside. */
    receive<T>(promise: PromiseLike<T>): Promise<T> {
        return new Promise((resolve) => {
            void promise.then((value) => this.run(() => resolve(value)));
        });
    }

    /** The store as this process reaches it. */
    storeClient(store: KeyValueStore): KeyValueStore {
        const within = <T, E>(call: ResultAsync<T, E>) => new ResultAsync<T, E>(this.receive(call));
        return {
            read: (key) => within(store.read(key)),
            readPrefix: (prefix) => within(store.readPrefix(prefix)),
            compareAndSwap: (key, expected, value, lease) =>
                within(store.compareAndSwap(key, expected, value, lease)),
            compareAndDelete: (key, expected) => within(store.compareAndDelete(key, expected)),
            grantLease: (duration) => within(store.grantLease(duration)),
            keepLeaseAlive: (lease) => within(store.keepLeaseAlive(lease)),
            watch: (key, onChange) => store.watch(key, (change) => this.run(() => onChange(change))),
        };
    }
}

/** Lets `duration` pass on a shared clock, with everything that falls due in it. */
export async function passTime(clock: FakeClock, duration: Milliseconds): Promise<void> {
    const step = Math.max(minimumStep, duration / maximumStepsPerPass);
    for (let passed = 0; passed < duration; passed += step) {
        clock.advance(step);
        await new Promise((resolve) => {
            setImmediate(resolve);
        });
    }
}
