#!/usr/bin/env node
import {startKeeper} from "../adapters/keeper-process.js"
import {runProcess} from "./run-process.js"

runProcess("keeper", startKeeper)
