/**
 * Passes messages between a box and its leader: over the link, or within the process if
 * this box is the leader itself.
 */
import {batchIntervalMs} from "../core/placement-updates.js"
import type {RoutedEffect, RoutedEvent} from "../core/serving-events.js"
import type {ToLeader} from "../types/box-messages.js"
import type {BoxHub} from "./box-hub.js"
import {UseCounts} from "./use-counts.js"

type AllowEffect = Extract<RoutedEffect, {type: "allow"}>
type GrantEffect = Extract<RoutedEffect, {type: "send-grants"}>

export interface LeaderChannelOptions {
  /** The incarnation under which leaders know this box. */
  readonly box: string
  readonly post: (event: RoutedEvent) => void
  /** Sends to the leader that this box follows, if there is one. */
  readonly send: (message: ToLeader) => void
  /** The links of the boxes that follow this one. */
  readonly hub: () => BoxHub | undefined
  readonly isLeading: () => boolean
  /** Whether this box is the confirmed leader by its own clock. */
  readonly mayGrant: () => boolean
  /** Whether it may also grant allowances of organisations' limits. */
  readonly mayAllow: () => boolean
  readonly boxCount: () => number
}

export class LeaderChannel {
  private readonly useCounts_ = new UseCounts()

  constructor(private readonly options_: LeaderChannelOptions) {}

  /** Performs an effect. Returns false if it does not concern the leader. */
  perform(effect: RoutedEffect): boolean {
    return this.performToLeader(effect) || this.performFromLeader(effect)
  }

  private performToLeader(effect: RoutedEffect): boolean {
    const {box} = this.options_
    switch (effect.type) {
      case "need":
        this.sendToLeader({t: "need", need: effect.need}, {...effect, box})
        return true
      case "drop":
        this.sendToLeader({t: "drop", request: effect.request}, {...effect, box})
        return true
      case "use":
        if (this.useCounts_.add(effect.change)) this.scheduleFlush()
        return true
      case "discard-uses":
        this.useCounts_.drain()
        return true
      case "missing": {
        const {engine, adapter, late} = effect
        this.sendToLeader({t: "missing", engine, adapter, late}, effect)
        return true
      }
      case "ask-retry": {
        const {id, service} = effect
        this.sendToLeader({t: "ask-retry", request: id, service}, {...effect, box})
        return true
      }
      case "usage": {
        const {ask, entries} = effect
        this.sendToLeader({t: "usage", ask, entries}, {type: "usage", box, ask, entries})
        return true
      }
      case "rate-news":
        if (this.options_.isLeading()) this.options_.hub()?.broadcastRates([effect.news])
        else this.options_.send({t: "rate", news: effect.news})
        return true
      case "send-asks": {
        const {asks} = effect
        this.sendToLeader({t: "send-asks", asks}, {type: "send-asks", box, asks})
        return true
      }
      case "sent-lately": {
        const {sent} = effect
        this.sendToLeader({t: "sent-lately", sent}, {type: "sent-lately", box, sent})
        return true
      }
      case "demand": {
        const {rows} = effect
        this.sendToLeader({t: "demand", rows}, {type: "demand", box, rows})
        return true
      }
      case "crashes":
        if (this.options_.isLeading())
          this.options_.hub()?.broadcastCrashes(effect.changes)
        else this.options_.send({t: "crashes", changes: effect.changes})
        return true
      default:
        return false
    }
  }

  private performFromLeader(effect: RoutedEffect): boolean {
    const {box, post, hub} = this.options_
    switch (effect.type) {
      case "retry": {
        const {id, allowed} = effect
        if (effect.box === box) post({type: "may-retry", id, allowed})
        else hub()?.answerRetry(effect.box, id, allowed)
        return true
      }
      case "refuse": {
        const {request, retryAfterMs} = effect
        if (effect.box === box) post({type: "refuse", request, retryAfterMs})
        else hub()?.sendRefusal(effect.box, request, retryAfterMs)
        return true
      }
      case "allow":
        // The leadership may have ended since the box sent its request.
        if (this.options_.mayAllow()) this.sendAllowances(effect)
        return true
      case "send-grants":
        if (this.options_.mayGrant()) this.sendGrants(effect)
        return true
      case "pressure":
        hub()?.broadcastPressure(effect.services)
        post(effect)
        return true
      case "places":
      case "loads":
        hub()?.sendEngineUpdate(effect)
        post(effect)
        return true
      default:
        return false
    }
  }

  private sendAllowances({box, ask, grants}: AllowEffect): void {
    const {post, hub} = this.options_
    if (box === this.options_.box) post({type: "allowances", ask, grants})
    else hub()?.sendAllowances(box, ask, grants)
  }

  private sendGrants({box, grants}: GrantEffect): void {
    const {post, hub} = this.options_
    if (box === this.options_.box) post({type: "send-grants", grants})
    else hub()?.grantSends(box, grants)
  }

  private sendToLeader(message: ToLeader, event: RoutedEvent): void {
    if (this.options_.isLeading()) this.options_.post(event)
    else this.options_.send(message)
  }

  /**
   * Sends the collected usage deltas after the batch interval. With few boxes that is the
   * end of the current turn of the event loop: the leader can reuse a slot only once it
   * knows that it is free.
   */
  private scheduleFlush(): void {
    const waitMs = batchIntervalMs(this.options_.boxCount())
    if (waitMs === 0) setImmediate(() => this.flush())
    else setTimeout(() => this.flush(), waitMs)
  }

  private flush(): void {
    const changes = this.useCounts_.drain()
    if (changes.length === 0) return
    this.sendToLeader(
      {t: "use", changes},
      {type: "uses", box: this.options_.box, changes}
    )
  }
}
