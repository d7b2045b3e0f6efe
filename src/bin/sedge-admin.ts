#!/usr/bin/env node
import {startAdmin} from "../adapters/admin-process.js"
import {runProcess} from "./run-process.js"

runProcess("admin", startAdmin)
