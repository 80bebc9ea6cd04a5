/**
 * Memory of open requests without their bodies. A request is held as it was parsed and as it is passed on, so large heads
 * exhaust the heap long before the connections are used up, and V8 ends a process at the heap's limit.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { getHeapStatistics } from "node:v8";

/** Share of the heap for open requests. */
const heapShare = 0.4;

/** Memory of the objects of a request besides its head, in bytes. */
const objectBytes = 16_384;

const headCopies = 2;

/** Maximum total memory of open requests in bytes; a part of the heap's limit. */
export function openRequestLimit(): number {
    return getHeapStatistics().heap_size_limit * heapShare;
}

/** Estimated memory of an open request in bytes. */
export function openRequestBytes({ rawHeaders }: IncomingMessage): number {
    return objectBytes + headCopies * rawHeaders.reduce((bytes, text) => bytes + text.length, 0);
}
