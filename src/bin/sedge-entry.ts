#!/usr/bin/env node
import {startEntry} from "../adapters/entry-process.js"
import {runProcess} from "./run-process.js"

runProcess("entry", startEntry)
