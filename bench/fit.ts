/** Linear regression by least squares. */

export interface Point {
  readonly size: number
  readonly value: number
}

export interface Line {
  readonly slope: number
  readonly floor: number
  /** Largest distance of a point from the line, as a fraction of the largest value. */
  readonly residual: number
  readonly points: readonly Point[]
}

export function fitLine(points: readonly Point[]): Line {
  const count = points.length
  const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count
  const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count
  let covarianceSum = 0
  let varianceSum = 0
  for (const {size, value} of points) {
    covarianceSum += (size - meanSize) * (value - meanValue)
    varianceSum += (size - meanSize) ** 2
  }
  const slope = covarianceSum / varianceSum
  const floor = meanValue - slope * meanSize
  const largest = Math.max(...points.map(({value}) => Math.abs(value)))
  const distances = points.map(({size, value}) => Math.abs(value - floor - slope * size))
  return {slope, floor, residual: Math.max(...distances) / largest, points}
}

export function valueAt({slope, floor}: Line, size: number): number {
  return floor + slope * size
}
