/**
 * Exports the part of `hdr-histogram-js` that a box uses. The package's own entry point
 * also loads readers and writers of histogram logs.
 */
export {build} from "../node_modules/hdr-histogram-js/dist/HistogramBuilder.js"
