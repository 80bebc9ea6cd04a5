#!/usr/bin/env node
/**
 * Main program of `redwingpin`, the operator's command.
 *
 * @module
 */
import { createCli } from "./cli.js";

void createCli().runExit(process.argv.slice(2));
