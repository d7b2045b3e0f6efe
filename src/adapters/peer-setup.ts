/** Link options common to all processes: hello, timeouts, logs and configuration. */
import type {Hello, PeerMessage} from "../types/messages.js"
import {PROTOCOL_VERSION} from "../types/messages.js"
import type {ConfigSync} from "./config-sync.js"
import type {LinkOptions} from "./peer-links.js"
import {type ProcessContext, takeConfigMessage} from "./process.js"

export interface PeerHandlers {
  readonly up: (hello: Hello) => void
  readonly down: (incarnation: string) => void
  /** Handles pings and all messages that do not concern the configuration. */
  readonly message: (from: string, message: PeerMessage) => void
  readonly send: (to: string, message: PeerMessage) => void
}

/** Returns the options of a process's links. */
export function describeLinks(
  {settings, log, role, incarnation}: ProcessContext,
  sync: ConfigSync,
  handlers: PeerHandlers
): LinkOptions {
  return {
    hello: () => ({
      t: "hello",
      protocol: PROTOCOL_VERSION,
      role,
      incarnation,
      dataCentre: settings.dataCentre,
      generation: sync.config.generation
    }),
    heartbeatMs: settings.timing.heartbeatMs,
    silenceMs: settings.timing.linkSilenceMs,
    events: {
      up: hello => {
        log("link-up", {peer: hello.incarnation})
        handlers.up(hello)
      },
      down: incarnation => {
        log("link-down", {peer: incarnation})
        handlers.down(incarnation)
      },
      message: (from, message) => {
        const isHandled = takeConfigMessage(sync, message, answer =>
          handlers.send(from, answer)
        )
        if (!isHandled || message.t === "ping") handlers.message(from, message)
      },
      refused: reason => log("link-refused", {reason})
    }
  }
}
