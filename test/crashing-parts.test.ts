/** Prompts with a part that crashes servers are stopped soon, and others are served. */
import t, {type Test} from "tap"
import {
  type CrashingPartsOptions,
  type CrashingPartsResult,
  simulateCrashingParts
} from "./patterns/crashing-parts.js"
import {passIfKnownRed} from "./support/known-red.js"

/** Most sends of prompts with a guilty part later than 3 s after its fifth crash. */
const MOST_LATE = 3

/** Sound requests with the same first part begin at least at this part of their rate. */
const LEAST_BEGUN = 0.5

/** Fewest requests, before and after, from which that is judged. */
const LEAST_COUNTED = 20

/** Share of the sound requests that may be refused as crashing, if the part is fresh. */
const REFUSED_SHARE = 0.01

/** Most crash records, and remembered answers and sends, in a box. */
const MOST_RECORDS = 512
const MOST_REMEMBERED = 20_000

const SIX_SERVERS: CrashingPartsOptions = {
  seed: 1,
  boxes: 8,
  servers: 6,
  slots: 30,
  perSecond: 40,
  seconds: 28,
  guilty: 1,
  guiltyPerSecond: 3,
  guiltyFromMs: 8_000
}
const THIRTY_SERVERS = {
  ...SIX_SERVERS,
  boxes: 30,
  servers: 30,
  slots: 8,
  perSecond: 60
}
const MANY_SERVERS = {
  ...SIX_SERVERS,
  boxes: 550,
  servers: 550,
  slots: 8,
  perSecond: 60,
  seconds: 14,
  guiltyFromMs: 6_000,
  prefersEngines: false
}

/** A part that servers answered for 10 s before it became guilty. */
const SOUND_AT_FIRST = {knownFromMs: 2_000, guiltyFromMs: 12_000, seconds: 34}

const PATTERNS: Readonly<Record<string, CrashingPartsOptions>> = {
  "8 boxes, once per second": {...SIX_SERVERS, guiltyPerSecond: 1},
  "8 boxes, three times per second": SIX_SERVERS,
  "8 boxes, ten times per second": {...SIX_SERVERS, guiltyPerSecond: 10},
  "30 boxes, once per second": {...THIRTY_SERVERS, guiltyPerSecond: 1},
  "30 boxes, three times per second": THIRTY_SERVERS,
  "30 boxes, ten times per second": {...THIRTY_SERVERS, guiltyPerSecond: 10},
  "a part that was sound before": {...THIRTY_SERVERS, ...SOUND_AT_FIRST},
  "a part that was sound before, 8 boxes": {...SIX_SERVERS, ...SOUND_AT_FIRST},
  "a part that was sound before, once per second": {
    ...THIRTY_SERVERS,
    ...SOUND_AT_FIRST,
    guiltyPerSecond: 1
  },
  "two guilty parts": {...THIRTY_SERVERS, guilty: 2},
  "two guilty parts, 8 boxes": {...SIX_SERVERS, guilty: 2},
  "a guilty part in prompts of three routes": {...THIRTY_SERVERS, routes: 3},
  "a guilty part that no other follows": {...SIX_SERVERS, standsAlone: true},
  "a leader that is unreachable for two seconds": {
    ...THIRTY_SERVERS,
    leaderAway: [9_000, 11_000]
  },
  "a leader that is lost after the second crash": {...THIRTY_SERVERS, losesLeader: true},
  "boxes that restart": {...THIRTY_SERVERS, restartsAt: [8_700, 9_500, 15_000]},
  "resets of all connections": {...THIRTY_SERVERS, resetsAt: [8_200, 9_000, 9_700]},
  "servers that run requests whose connections are closed": {
    ...SIX_SERVERS,
    slots: 8,
    perSecond: 20,
    runsClosed: true
  },
  "callers of guilty prompts that disconnect": {
    ...SIX_SERVERS,
    slots: 8,
    perSecond: 20,
    hangsUpMs: 50,
    runsClosed: true
  },
  "a sound part that all guilty prompts have": {...THIRTY_SERVERS, hasCompanion: true},
  "few sound requests": {
    ...THIRTY_SERVERS,
    perSecond: 4,
    guiltyPerSecond: 10,
    guiltyFromMs: 14_000,
    seconds: 40
  },
  "a rack that loses power among the crashes": {
    ...THIRTY_SERVERS,
    powerLossesAt: [8_300, 9_500]
  },
  // The errors cleared the part, so that it crashed servers on and on.
  "servers that answer some requests with an error": {
    ...THIRTY_SERVERS,
    failedShare: 0.3,
    runsOnce: true
  },
  // Bytes that were sent before the crash looked as if the server had outlived the part.
  "last bytes of answers that arrive late": {...THIRTY_SERVERS, lateBytesShare: 0.6},
  // Boxes that knew better sent them for boxes that the leader did not reach.
  "boxes cut off from servers and leader, for which others send": {
    ...SIX_SERVERS,
    cut: {boxes: [1, 2, 4, 5], from: 5_000, to: 20_000}
  },
  // Each crash breaks a stream, which its caller takes up at another box.
  "callers of guilty prompts that take up their streams": {
    ...SIX_SERVERS,
    resumes: true
  },
  "all boxes that restart": {...THIRTY_SERVERS, restartsAllAt: 18_000, seconds: 40}
}

for (const [name, options] of Object.entries(PATTERNS)) {
  for (const seed of [1, 2]) {
    test(`${name}, seed ${seed}`, {...options, seed}, (t, result) => {
      checkGuilty(t, result)
      checkSound(t, result)
      if (options.knownFromMs === undefined) checkFewRefused(t, result)
    })
  }
}

test("550 boxes", MANY_SERVERS, (t, result) => {
  checkGuilty(t, result)
  checkSound(t, result)
  checkFewRefused(t, result)
})

// Boxes learn of crashes at others only from a leader, which none of them reaches.
for (const seed of [1, 2]) {
  const name = `a leader that is unreachable for eight seconds, seed ${seed}`
  const options = {...THIRTY_SERVERS, leaderAway: [8_000, 16_000], seed} as const
  test(name, options, checkGuilty)
}

// Crashes were known only to boxes that could not report them.
for (const seed of [4, 7]) {
  const cut = {boxes: [1, 2, 4, 5], from: 5_000, to: 20_000}
  const options = {...SIX_SERVERS, cut, seed}
  test(
    `crashes under requests of boxes that are cut off, seed ${seed}`,
    options,
    (t, result) => {
      checkGuilty(t, result)
      checkSound(t, result)
      checkFewRefused(t, result)
    }
  )
}

// No answer tells the guilty part from the others yet.
for (const seed of [1, 2]) {
  for (const [name, options] of Object.entries({SIX_SERVERS, THIRTY_SERVERS})) {
    const fromStart = {...options, guiltyFromMs: 0, guiltyPerSecond: 10, seed}
    test(`crashes from the start, ${name}, seed ${seed}`, fromStart, (t, result) => {
      checkGuilty(t, result)
      t.equal(result.refusedAtEnd, 0, "no sound request is refused any more")
    })
  }
}

// Crashes that have another cause look as if a popular part had caused them.
for (const seed of [1, 2, 3]) {
  const powerLossesAt = [8_000, 13_000, 18_000]
  for (const [name, options] of Object.entries({SIX_SERVERS, THIRTY_SERVERS})) {
    const losses = {...options, guilty: 0, powerLossesAt, seed}
    test(`a rack that loses power, ${name}, seed ${seed}`, losses, (t, {refused}) => {
      t.equal(refused, 0)
    })
  }
}

// Parts of which no two prompts have the same fill the memory, and hide the guilty one.
test(
  "10,000 parts per second that occur once",
  {...THIRTY_SERVERS, perSecond: 100, madeUpParts: 100, seconds: 20},
  (t, result) => {
    checkGuilty(t, result)
    checkSound(t, result)
    checkFewRefused(t, result)
    t.ok(result.records <= MOST_RECORDS, `${result.records} records`)
    t.ok(result.remembered <= MOST_REMEMBERED, `${result.remembered} remembered`)
  }
)

// A part that is refused forever would stay refused after its repair.
for (const seed of [1, 2]) {
  test(
    `a part that is repaired, seed ${seed}`,
    {...SIX_SERVERS, perSecond: 15, seconds: 140, repairedAtMs: 28_000, seed},
    (t, result) => {
      checkGuilty(t, result)
      checkSound(t, result)
      checkFewRefused(t, result)
      t.ok(result.repairedBegun > 0.9, `${result.repairedBegun} begin at the end`)
    }
  )
}

function test(
  name: string,
  options: CrashingPartsOptions,
  check: (t: Test, result: CrashingPartsResult) => void
): void {
  t.test(name, async t => {
    if (passIfKnownRed(`crashing-parts ${name}`)) return
    const result = simulateCrashingParts(options)
    t.comment(describe(result))
    check(t, result)
  })
}

function checkGuilty(t: Test, {crashes, lateReaches}: CrashingPartsResult): void {
  t.ok(crashes > 0, "servers crash")
  t.ok(lateReaches <= MOST_LATE, `${lateReaches} late`)
}

function checkSound(t: Test, {begun, refusedAtEnd}: CrashingPartsResult): void {
  const {before, after, counted} = begun
  t.ok(Math.min(...counted) >= LEAST_COUNTED, `${counted.join(" and ")} counted`)
  t.ok(after >= before * LEAST_BEGUN, `${after} begin after ${before}`)
  t.equal(refusedAtEnd, 0, "no sound request is refused any more")
}

function checkFewRefused(t: Test, {refused, sound}: CrashingPartsResult): void {
  t.ok(refused <= sound * REFUSED_SHARE, `${refused} of ${sound} refused`)
}

function describe(result: CrashingPartsResult): string {
  const {crashes, lateReaches, begun, sound, refused, refusedAtEnd} = result
  const {unserved, records, remembered, updates, charactersPerCrash} = result
  const ratio = (begun.after / begun.before).toFixed(2)
  return (
    `${crashes} crashes, ${lateReaches} late; ${ratio} of sound ones begin; ` +
    `refused ${refused} of ${sound}, ${refusedAtEnd} at the end; ` +
    `unserved ${(100 * unserved).toFixed(1)} %; ${records} records, ` +
    `${remembered} remembered, ${updates} updates, ` +
    `${Math.round(charactersPerCrash)} characters a crash`
  )
}
