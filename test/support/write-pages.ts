/** Writes the documentation pages that are generated from the code. */
import {writeFileSync} from "node:fs"
import {renderErrorsPage, renderEventsPage, renderSettingsPage} from "./pages.js"

const write = (name: string, text: string) =>
  writeFileSync(new URL(`../../../docs/${name}`, import.meta.url), text)

write("EVENTS.md", renderEventsPage())
write("protocols/errors.md", renderErrorsPage())
write("operators/settings.md", renderSettingsPage())
