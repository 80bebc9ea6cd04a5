/**
 * Clock, settings, findings, logs, metrics, digests and random numbers that every other package builds on.
 *
 * @module
 */
export * from "./byteCollector.js";
export * from "./clock.js";
export * from "./connections/blockPool.js";
export * from "./connections/bodyReader.js";
export * from "./connections/boundedConnections.js";
export * from "./connections/clientErrors.js";
export * from "./connections/closedConnections.js";
export * from "./connections/connectionBudget.js";
export * from "./connections/connectionReader.js";
export * from "./connections/controlServer.js";
export * from "./connections/openBodies.js";
export * from "./connections/openRequests.js";
export * from "./connections/readTurns.js";
export * from "./connections/receivedBytes.js";
export * from "./connections/smallChunks.js";
export * from "./decision.js";
export * from "./digest.js";
export * from "./endpointAgent.js";
export * from "./endpointExchange.js";
export * from "./eventLoopMonitor.js";
export * from "./finding.js";
export * from "./httpService.js";
export * from "./lineWriter.js";
export * from "./logger.js";
export * from "./memoryWatch.js";
export * from "./metrics.js";
export * from "./metricsText.js";
export * from "./processEnd.js";
export * from "./processLifecycle.js";
export * from "./processSignals.js";
export * from "./random.js";
export * from "./readAllowance.js";
export * from "./reasons.js";
export * from "./responseGuard.js";
export * from "./settings.js";
export * from "./shape.js";
export * from "./turnBudget.js";
