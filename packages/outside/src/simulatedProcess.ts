/**
 * Simulated processes for fuzzing, tests and experiments. Each has its own clock and store client, and can be killed
 * or paused. A killed process never runs again, but what it has sent still arrives. A paused process continues when it
 * is resumed.
 *
 * @module
 */
import type { Clock, FakeClock, Milliseconds } from "@redwingpin/common";
import { ResultAsync } from "neverthrow";
import type { KeyValueStore } from "./store.js";

const minimumStep: Milliseconds = 5;
/** Maximum number of steps in {@link advanceTime}. */
const maximumSteps = 400;

/** One simulated process. */
export class SimulatedProcess {
    /** Clock whose callbacks run in the process. */
    readonly clock: Clock;
    private isPaused = false;
    private isKilled = false;
    private deferredCallbacks: (() => void)[] = [];

    constructor(shared: FakeClock) {
        this.clock = {
            now: () => shared.now(),
            wallTime: () => shared.wallTime(),
            schedule: (delay, callback) => shared.schedule(delay, () => this.run(callback)),
        };
    }

    /** Ends the process immediately. */
    kill(): void {
        this.isKilled = true;
        this.deferredCallbacks = [];
    }

    /** Pauses the process until it is resumed. */
    pause(): void {
        this.isPaused = true;
    }

    /** Resumes the process and runs the callbacks that became due while it was paused. */
    resume(): void {
        this.isPaused = false;
        const { deferredCallbacks } = this;
        this.deferredCallbacks = [];
        deferredCallbacks.forEach((callback) => callback());
    }

    /** True unless the process is paused or was killed. */
    get isRunning(): boolean {
        return !this.isPaused && !this.isKilled;
    }

    /** Runs a callback in the process: immediately, once a paused process is resumed, or never if it was killed. */
    run(callback: () => void): void {
        if (this.isKilled) {
            return;
        }
        if (this.isPaused) {
            this.deferredCallbacks.push(() => this.run(callback));
            return;
        }
        callback();
    }

    /** Resolves with the value of `promise` when the process can run. */
    receive<T>(promise: PromiseLike<T>): Promise<T> {
        return new Promise((resolve) => {
            void promise.then((value) => this.run(() => resolve(value)));
        });
    }

    /** Returns a client of the store whose answers and changes are received in this process. */
    storeClient(store: KeyValueStore): KeyValueStore {
        const receiveCall = <T, E>(call: ResultAsync<T, E>) => new ResultAsync<T, E>(this.receive(call));
        return {
            read: (key) => receiveCall(store.read(key)),
            readPrefix: (prefix) => receiveCall(store.readPrefix(prefix)),
            compareAndSwap: (key, expected, value, lease) =>
                receiveCall(store.compareAndSwap(key, expected, value, lease)),
            compareAndDelete: (key, expected) => receiveCall(store.compareAndDelete(key, expected)),
            grantLease: (duration) => receiveCall(store.grantLease(duration)),
            keepLeaseAlive: (lease) => receiveCall(store.keepLeaseAlive(lease)),
            watch: (key, onChange) => store.watch(key, (change) => this.run(() => onChange(change))),
        };
    }
}

/** Advances a shared clock by `duration` in steps, and runs everything that becomes due. */
export async function advanceTime(clock: FakeClock, duration: Milliseconds): Promise<void> {
    const step = Math.max(minimumStep, duration / maximumSteps);
    for (let passed = 0; passed < duration; passed += step) {
        clock.advance(step);
        await new Promise((resolve) => {
            setImmediate(resolve);
        });
    }
}
