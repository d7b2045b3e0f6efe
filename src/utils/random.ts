/** Seeded random numbers without side effects: each draw returns the next generator. */
import {
  type RandomGenerator,
  unsafeUniformIntDistribution,
  xoroshiro128plus
} from "pure-rand"

const STEPS = 0x1_0000_0000

/** First draws to discard, because those of neighbouring seeds are similar. */
const WARM_UP_DRAWS = 32

export function createRandom(seed: number): RandomGenerator {
  const random = xoroshiro128plus(seed)
  for (let draw = 0; draw < WARM_UP_DRAWS; draw++) random.unsafeNext()
  return random
}

/** Returns a number in [0, 1) and the next generator. Does not change `random`. */
export function uniformFloat64(random: RandomGenerator): [number, RandomGenerator] {
  const next = random.clone()
  const value = unsafeUniformIntDistribution(0, STEPS - 1, next) / STEPS
  return [value, next]
}
