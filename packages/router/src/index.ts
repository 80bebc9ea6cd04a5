/**
 * redwingpin-router: serves callers' requests.
 *
 * @module
 */
export * from "./config.js";
export * from "./constants.js";
export { AnswerProgress } from "./decision/attemptLoop.js";
export {
    type Exchange,
    type ExchangeConnection,
    type ExchangeEvent,
    ExchangeTable,
    type OpenFields,
} from "./node/agentExchange.js";
export { AnswerRelay } from "./node/answerRelay.js";
export { CallerLimits } from "./node/callerLimits.js";
export * from "./node/router.js";
