/** What a box keeps to tell which requests were in progress at a backend server as it crashed. */

/** A request counts as in progress for so long after its connection was closed, milliseconds. */
const CLOSED_MS = 1_000

/** The same after its whole answer came: a server may crash of it right after, and be seen to a little later. */
const ANSWERED_MS = 300

const MAX_ENDED = 2_000

/** A server that broke off requests is looked at again after this, milliseconds, and so often in all. */
const LOOK_AGAIN_MS = 500
const MAX_LOOKS = 4

/** So long the news of its next life tells that it crashed: where it could not be reached, and where it could, milliseconds. */
const UNKNOWN_MS = 15_000
const REBORN_MS = 3_000

/** A send that is over. */
interface EndedSend {
  readonly fingerprint: string
  readonly life: string
  readonly at: number
  readonly answered: boolean
}

/** A server that broke off requests, and may have crashed. */
interface Broken {
  readonly at: number
  /** Nothing is concluded from it any more then. */
  until: number
  /** Requests that ended as it broke off, or shortly before. */
  readonly suspects: Set<string>
  looksLeft: number
  lookAt: number
}

export class CrashWatch {
  /** Oldest first. */
  private ended_: EndedSend[] = []
  private readonly broken_ = new Map<string, Broken>()

  /** A send ended without a whole answer. */
  noteClosed(fingerprint: string, life: string, at: number): void {
    this.noteEnded({fingerprint, life, at, answered: false})
  }

  /** A send ended with a whole answer. */
  noteAnswered(fingerprint: string, life: string, at: number): void {
    this.noteEnded({fingerprint, life, at, answered: true})
  }

  /** Whether a request ended at the server so lately that it may have to do with its crash. */
  endedLately(life: string, now: number): boolean {
    return this.ended_.some(each => each.life === life && now - each.at < CLOSED_MS)
  }

  /** The requests that ended at the server shortly before that time, or since. */
  private endedAround(life: string, at: number): string[] {
    return this.ended_
      .filter(each => each.life === life)
      .filter(each => at - each.at < (each.answered ? ANSWERED_MS : CLOSED_MS))
      .map(({fingerprint}) => fingerprint)
  }

  /** A server broke off a request; false: it is being looked at already. */
  noteBroken(life: string, now: number): boolean {
    const known = this.broken_.get(life)
    const suspects = new Set(this.endedAround(life, now))
    if (known && now - known.at < CLOSED_MS) {
      for (const fingerprint of suspects) known.suspects.add(fingerprint)
      return false
    }
    const until = now + UNKNOWN_MS
    const lookAt = now + LOOK_AGAIN_MS
    this.broken_.set(life, {at: now, until, suspects, looksLeft: MAX_LOOKS - 1, lookAt})
    return true
  }

  /** The server takes connections: it is sound, unless its next life is told of soon. */
  noteReached(life: string, now: number): void {
    const broken = this.broken_.get(life)
    if (!broken) return
    broken.looksLeft = 0
    broken.until = Math.min(broken.until, now + REBORN_MS)
  }

  /** The server has crashed: the requests that ended as it did, or shortly before. */
  takeCrash(life: string, now: number): string[] {
    const broken = this.broken_.get(life)
    this.broken_.delete(life)
    return [...(broken?.suspects ?? []), ...this.endedAround(life, broken?.at ?? now)]
  }

  /** The servers that are to be looked at again now. */
  takeLooks(now: number): string[] {
    const due: string[] = []
    for (const [life, broken] of this.broken_) {
      if (now >= broken.until) this.broken_.delete(life)
      else if (broken.looksLeft > 0 && now >= broken.lookAt) {
        broken.looksLeft--
        broken.lookAt = now + LOOK_AGAIN_MS
        due.push(life)
      }
    }
    return due
  }

  private noteEnded(send: EndedSend): void {
    this.ended_.push(send)
    const [oldest] = this.ended_
    const isFull = this.ended_.length > MAX_ENDED
    if (!isFull && oldest && send.at - oldest.at < 2 * CLOSED_MS) return
    this.ended_ = this.ended_
      .slice(-MAX_ENDED / 2)
      .filter(each => send.at - each.at < CLOSED_MS)
  }
}
