/** Returns the complete event stream that the stand-in sends for a request. */
export function wholeStream(id: string, events = 6): string {
  let text = ""
  for (let i = 1; i <= events; i++) text += `id: ${i}\ndata: ${id}-${i}\n\n`
  return text
}
